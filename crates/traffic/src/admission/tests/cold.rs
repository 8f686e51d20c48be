//! A cold upstream under three times the load that it bears.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use model::{NotRunReason, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{config, ms};
use crate::{
    Admission, Arrival, ClassIndex, Completion, Decision, SharedWarmup, Ticket, Timeliness, Verdict,
};

const SLOTS: usize = 9;
const COLD_PER_S: f64 = 12.0;
const ARRIVALS_PER_S: u64 = 36;
/// While it is cold a request takes twice as long as usual.
const SERVICE: Duration = Duration::from_millis(320);
const OBJECTIVE: Duration = Duration::from_millis(1_000);
const PLAYED_S: u64 = 20;

#[derive(Debug, Default)]
struct Seen {
    starts: Vec<Timestamp>,
    in_time: u32,
    late: u32,
    /// Refused after this wait, told to come back after that time.
    refused: Vec<(Duration, Duration)>,
    expired: u32,
}

impl Seen {
    fn most_in_a_second(&self) -> usize {
        let within = |from: &Timestamp| {
            let until = *from + Duration::from_secs(1);
            self.starts.iter().filter(|it| **it >= *from && **it < until).count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ends(Ticket),
    Comes,
    Tick,
}

fn play(warmup: SharedWarmup) -> Seen {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut admission = Admission::new(config(SLOTS, &[1.0]), Timestamp::ZERO).with_warmup(warmup);
    let mut events = BinaryHeap::new();
    for _ in 0..ARRIVALS_PER_S * PLAYED_S {
        let at = ms(rng.random_range(0..PLAYED_S * 1_000));
        events.push(Reverse((Timestamp::ZERO + at, Event::Comes)));
    }
    let mut seen = Seen::default();
    let mut came = std::collections::HashMap::new();
    let mut out: Vec<Decision> = Vec::new();
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Comes => {
                let (deadline, timeliness) = (now + OBJECTIVE, Timeliness::InTime);
                let arrival = Arrival { class: ClassIndex(0), route: None, deadline, timeliness };
                let ticket = admission.offer(now, arrival, &mut rng, &mut out);
                came.insert(ticket, now);
            }
            Event::Ends(ticket) => {
                match now.since(came[&ticket]) <= OBJECTIVE {
                    true => seen.in_time += 1,
                    false => seen.late += 1,
                }
                admission.finish(now, ticket, Completion::Answered, &mut rng, &mut out);
            }
            Event::Tick => admission.tick(now, &mut rng, &mut out),
        }
        for Decision { ticket, verdict } in out.drain(..) {
            match verdict {
                Verdict::Start => {
                    seen.starts.push(now);
                    events.push(Reverse((now + SERVICE, Event::Ends(ticket))));
                }
                Verdict::Shed { reason, retry_after } => {
                    assert_eq!(reason, NotRunReason::Overloaded);
                    seen.refused.push((now.since(came[&ticket]), retry_after));
                }
                Verdict::Expired => seen.expired += 1,
            }
        }
        if let Some(at) = admission.next_wakeup(now) {
            events.push(Reverse((at.max(now), Event::Tick)));
        }
    }
    seen
}

fn cold() -> SharedWarmup {
    let warmup = SharedWarmup::new(Timestamp::ZERO);
    warmup.with(|it| {
        it.set_limit(Some(COLD_PER_S));
        it.set_cold_period(Timestamp::ZERO, Duration::from_secs(3_600));
    });
    warmup
}

#[test]
fn it_is_given_what_it_bears_and_the_others_are_told_at_once() {
    let seen = play(cold());
    assert!(seen.most_in_a_second() as f64 <= COLD_PER_S, "{}", seen.most_in_a_second());
    let borne = COLD_PER_S * PLAYED_S as f64;
    assert!(f64::from(seen.in_time) >= 0.85 * borne, "{} of {borne} in time", seen.in_time);
    assert_eq!((seen.late, seen.expired), (0, 0));
    let held = seen.refused.iter().map(|it| it.0).max().unwrap();
    assert!(held < OBJECTIVE.mul_f64(0.75), "refused after {held:?}");
    // There is room again once those before it have been given to the upstream.
    let step = Duration::from_secs_f64(COLD_PER_S.recip());
    assert!(seen.refused.iter().all(|it| it.1 >= step), "told to come back before there is room");
}

#[test]
fn once_it_is_warm_only_its_slots_limit_it() {
    let warmup = SharedWarmup::new(Timestamp::ZERO);
    warmup.with(|it| {
        it.set_limit(Some(COLD_PER_S));
        it.set_cold_period(Timestamp::ZERO, Duration::ZERO);
    });
    let seen = play(warmup);
    let slots_take = SLOTS as f64 / SERVICE.as_secs_f64() * PLAYED_S as f64;
    assert!(f64::from(seen.in_time) >= 0.85 * slots_take, "{} of {slots_take}", seen.in_time);
}
