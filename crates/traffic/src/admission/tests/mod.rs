//! Tests of admission control, in simulated time.

mod express;
mod limited_rate;
mod late_requests;
mod overload;
mod slowing_upstream;

use std::time::Duration;

use model::{ClassName, NotRunReason, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, Completion, Decision, Ticket,
    Timeliness, Verdict, tests::check_seeded,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config(slots: usize, weights: &[f64]) -> AdmissionConfig {
    let class = |(index, weight): (usize, &f64)| ClassConfig {
        name: ClassName::new(&format!("class-{index}")).unwrap(),
        weight: *weight,
        initial_service_time: ms(10),
    };
    AdmissionConfig {
        slots,
        queue_len_max: 200,
        queue_time_max: ms(1000),
        slow_start: Duration::ZERO,
        service_time_deviations: 4.0,
        retry_after_min: ms(50),
        classes: weights.iter().enumerate().map(class).collect(),
    }
}

/// An admission with a clock that the test sets.
struct Fixture {
    admission: Admission,
    rng: Pcg64Mcg,
    now: Timestamp,
    decisions: Vec<Decision>,
}

impl Fixture {
    fn new(config: AdmissionConfig) -> Fixture {
        let now = Timestamp::from_ms(1000);
        let admission = Admission::new(config, now);
        Fixture { admission, rng: Pcg64Mcg::seed_from_u64(1), now, decisions: Vec::new() }
    }

    fn offer(&mut self, class: usize, time_to_deadline: Duration) -> Ticket {
        self.offer_if_express(class, time_to_deadline, false)
    }

    fn offer_express(&mut self, class: usize, time_to_deadline: Duration) -> Ticket {
        self.offer_if_express(class, time_to_deadline, true)
    }

    fn offer_if_express(
        &mut self,
        class: usize,
        time_to_deadline: Duration,
        is_express: bool,
    ) -> Ticket {
        let arrival = Arrival {
            class: ClassIndex(class),
            route: None,
            deadline: self.now + time_to_deadline,
            timeliness: Timeliness::InTime,
            is_express,
            objective: is_express.then_some(ms(60)),
        };
        self.admission.offer(self.now, arrival, &mut self.rng, &mut self.decisions)
    }

    fn finish(&mut self, ticket: Ticket) {
        let completion = Completion::Answered;
        self.admission.finish(self.now, ticket, completion, &mut self.rng, &mut self.decisions);
    }

    fn tick(&mut self) {
        self.admission.tick(self.now, &mut self.rng, &mut self.decisions);
    }

    fn verdict(&self, ticket: Ticket) -> Option<Verdict> {
        let of_ticket = self.decisions.iter().filter(|it| it.ticket == ticket);
        let verdicts: Vec<_> = of_ticket.map(|it| it.verdict).collect();
        assert!(verdicts.len() <= 1, "{ticket:?} got more than one verdict: {verdicts:?}");
        verdicts.first().copied()
    }
}

#[test]
fn the_earliest_deadline_starts_first() {
    let mut it = Fixture::new(config(1, &[1.0]));
    let running = it.offer(0, ms(900));
    let late = it.offer(0, ms(900));
    let early = it.offer(0, ms(500));
    it.now = it.now + ms(10);
    it.finish(running);
    assert_eq!(it.verdict(early), Some(Verdict::Start));
    assert_eq!(it.verdict(late), None);
}

#[test]
fn a_request_that_can_no_longer_finish_is_refused_at_once() {
    let mut it = Fixture::new(config(1, &[1.0]));
    it.offer(0, ms(900));
    let waiting = it.offer(0, ms(100));
    let wakeup = it.admission.next_wakeup(it.now).unwrap();
    assert!(wakeup < it.now + ms(100), "the request must be refused before its deadline");
    it.now = wakeup;
    it.tick();
    let Some(Verdict::Shed { reason, retry_after }) = it.verdict(waiting) else {
        panic!("expected the request to be shed, got {:?}", it.verdict(waiting));
    };
    assert_eq!(reason, NotRunReason::Overloaded);
    assert!(retry_after >= ms(50));
}

#[test]
fn a_request_with_a_passed_deadline_is_expired() {
    let mut it = Fixture::new(config(1, &[1.0]));
    let ticket = it.offer(0, Duration::ZERO);
    assert_eq!(it.verdict(ticket), Some(Verdict::Expired));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut it = Fixture::new(AdmissionConfig { queue_len_max: 1, ..config(1, &[1.0]) });
    let running = it.offer(0, ms(900));
    let first = it.offer(0, ms(900));
    assert!(it.admission.cancel(first));
    let second = it.offer(0, ms(900));
    assert_eq!(it.verdict(second), None);
    it.finish(running);
    assert_eq!(it.verdict(second), Some(Verdict::Start));
    assert_eq!(it.verdict(first), None);
    assert!(!it.admission.cancel(running));
}

#[test]
fn a_drained_upstream_gets_no_new_work() {
    let mut it = Fixture::new(config(1, &[1.0]));
    let running = it.offer(0, ms(900));
    let waiting = it.offer(0, ms(900));
    it.admission.drain(it.now, &mut it.rng, &mut it.decisions);
    let late = it.offer(0, ms(900));
    it.finish(running);
    for ticket in [waiting, late] {
        let verdict = it.verdict(ticket);
        assert!(matches!(verdict, Some(Verdict::Shed { reason: NotRunReason::Draining, .. })));
    }
    it.admission.restart(it.now);
    let again = it.offer(0, ms(900));
    assert_eq!(it.verdict(again), Some(Verdict::Start));
}

#[test]
fn a_new_upstream_ramps_up() {
    let mut it = Fixture::new(AdmissionConfig { slow_start: ms(1100), ..config(12, &[1.0]) });
    for _ in 0..12 {
        it.offer(0, ms(5000));
    }
    let mut open = vec![it.admission.running()];
    while it.admission.queued() > 0 {
        it.now = it.admission.next_wakeup(it.now).unwrap();
        it.tick();
        open.push(it.admission.running());
    }
    assert_eq!(open, (1..=12).collect::<Vec<_>>());
}

#[test]
fn an_overloaded_class_leaves_queue_room_for_another() {
    let mut it = Fixture::new(AdmissionConfig { queue_len_max: 10, ..config(1, &[1.0, 1.0]) });
    for _ in 0..30 {
        it.offer(0, ms(900));
    }
    let other = it.offer(1, ms(900));
    assert_eq!(
        it.verdict(other),
        None,
        "the last request of the overloaded class is refused instead"
    );
    assert_eq!(it.admission.queued(), 10);
}

/// Each ticket gets exactly one decision or is cancelled, in any order of events. The admission checks its own
/// invariants after each of them.
#[test]
fn every_ticket_gets_one_decision() {
    fn property(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = AdmissionConfig { queue_len_max: 8, ..config(3, &[1.0, 4.0]) };
        let mut it = Fixture::new(config);
        let (mut open, mut cancelled) = (Vec::new(), Vec::new());
        for _ in 0..200 {
            it.now = it.now + ms(rng.random_range(0..20));
            match rng.random_range(0..8) {
                0..4 => {
                    let (class, deadline) = (rng.random_range(0..2), ms(rng.random_range(0..200)));
                    open.push(it.offer_if_express(class, deadline, rng.random_bool(0.3)));
                }
                4..6 => {
                    let running = |ticket: &Ticket| it.verdict(*ticket) == Some(Verdict::Start);
                    if let Some(index) = open.iter().position(running) {
                        let ticket = open.swap_remove(index);
                        it.finish(ticket);
                    }
                }
                6 if !open.is_empty() => {
                    let ticket = open[rng.random_range(0..open.len())];
                    if it.admission.cancel(ticket) {
                        cancelled.push(ticket);
                    }
                }
                _ => it.tick(),
            }
        }
        it.admission.drain(it.now, &mut it.rng, &mut it.decisions);
        let ended = (0..it.decisions.len())
            .filter(|index| cancelled.iter().all(|ticket| it.decisions[*index].ticket != *ticket));
        ended.count() == it.decisions.len()
            && open.iter().all(|ticket| cancelled.contains(ticket) || it.verdict(*ticket).is_some())
    }
    check_seeded(property as fn(u64) -> bool);
}
