//! Tests of the return times, in simulated time.

mod load;

use std::time::Duration;

use model::{ClassName, Fingerprint, RequestRate, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    Admission, AdmissionConfig, Arrival, ClassConfig, ClassIndex, PromiseState, ReturnBook,
    ReturnRequest, SharedRateLimit, Ticket, Timeliness, Verdict,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config(
    slots: usize,
    queue_time_max: Duration,
    weights: impl IntoIterator<Item = f64>,
) -> AdmissionConfig {
    let class = |weight| ClassConfig {
        name: ClassName::new("any").unwrap(),
        weight,
        initial_service_time: ms(100),
    };
    AdmissionConfig {
        slots,
        queue_len_max: 256,
        queue_time_max,
        slow_start: Duration::ZERO,
        service_time_deviations: 4.0,
        retry_after_min: ms(50),
        classes: weights.into_iter().map(class).collect(),
    }
}

/// A gate of one slot whose requests take 100 ms.
struct Fixture {
    admission: Admission,
    book: ReturnBook,
    now: Timestamp,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_weights([1.0])
    }

    fn with_weights(weights: impl IntoIterator<Item = f64> + Clone) -> Fixture {
        let now = Timestamp::from_ms(5000);
        let config = config(1, ms(500), weights.clone());
        let admission = Admission::new(config, now);
        Fixture { admission, book: ReturnBook::new(now, weights), now }
    }

    fn request(&self, content: u64, class: usize, remaining: Duration) -> ReturnRequest {
        ReturnRequest {
            fingerprint: Fingerprint(content),
            class: ClassIndex(class),
            route: None,
            deadline: self.now + remaining,
        }
    }

    /// Refuses a request with 900 ms left. Returns the promised time, if there is one.
    fn refuse(&mut self, content: u64) -> Option<Timestamp> {
        let request = self.request(content, 0, ms(900));
        let time = self.book.refuse(self.now, &self.admission, request);
        time.is_promised.then_some(self.now + time.after)
    }

    fn arrive(&mut self, at: Timestamp, content: u64) -> PromiseState {
        self.now = at;
        let request = self.request(content, 0, ms(500));
        self.book.arrive(at, &self.admission, request, true)
    }
}

#[test]
fn promises_are_one_service_time_apart_and_the_rest_waits_a_third() {
    let mut it = Fixture::new();
    let times: Vec<_> = (0..3).map_while(|content| it.refuse(content)).collect();
    assert_eq!(times.len(), 2, "a third of 900 ms has room for two after the current step");
    assert!(times[0].since(it.now) >= ms(100) && times[1].since(it.now) <= ms(300), "{times:?}");
    assert_eq!(times[1].since(times[0]), ms(100));
    let request = it.request(9, 0, ms(900));
    let time = it.book.refuse(it.now, &it.admission, request);
    assert_eq!((time.after, time.is_promised), (ms(300), false));
    assert_eq!(it.book.promised(it.now), 2);
}

#[test]
fn a_request_with_a_few_milliseconds_left_is_promised_nothing() {
    let mut it = Fixture::new();
    for remaining in [Duration::ZERO, ms(9)] {
        let request = it.request(1, 0, remaining);
        let time = it.book.refuse(it.now, &it.admission, request);
        assert_eq!((time.after, time.is_promised), (remaining / 3, false));
    }
}

#[test]
fn a_return_at_its_time_is_due_and_one_before_it_loses_the_promise() {
    let offsets = [
        (-11, PromiseState::Early),
        (-10, PromiseState::Due),
        (100, PromiseState::Due),
        (101, PromiseState::Unpromised),
    ];
    for (offset_ms, expected) in offsets {
        let mut it = Fixture::new();
        let at = it.refuse(1).unwrap();
        let returned_at = Timestamp { ns: at.ns.strict_add_signed(offset_ms * 1_000_000) };
        assert_eq!(it.arrive(returned_at, 1), expected, "{offset_ms} ms after the promised time");
        let again = it.arrive(at.max(returned_at), 1);
        assert_eq!(again, PromiseState::Unpromised, "the promise serves two returns");
    }
}

/// Two callers may send the same content at once. The promise of one must not be lost to the first sending of the
/// other, nor serve both.
#[test]
fn equal_requests_of_two_callers_have_a_promise_each() {
    let mut it = Fixture::new();
    // Room for the promises beside the new requests.
    it.admission = Admission::new(config(20, ms(500), [1.0]), it.now);
    let first = it.refuse(1).unwrap();
    let refused_at = it.now;
    for after_us in [0, 500, 1500, 5000] {
        it.now = refused_at + Duration::from_micros(after_us);
        let sending = it.request(1, 0, ms(900));
        let state = it.book.arrive(it.now, &it.admission, sending, false);
        assert_eq!(state, PromiseState::Unpromised, "{after_us} us after the first refusal");
    }
    let second = it.refuse(1).unwrap();
    assert_eq!(it.arrive(first, 1), PromiseState::Due);
    assert_eq!(it.arrive(second, 1), PromiseState::Due);
    assert_eq!(it.arrive(second, 1), PromiseState::Unpromised);
}

/// A caller that returns at once is not marked as a retry, since its remaining time is about that of a first sending.
#[test]
fn an_early_return_is_recognized_by_its_deadline_and_loses_no_other_promise() {
    let mut it = Fixture::new();
    let first = it.refuse(1).unwrap();
    it.now = it.now + ms(60);
    let hasty = it.request(1, 0, ms(900));
    it.refuse(1).unwrap();
    it.now = it.now + ms(60);
    assert_eq!(it.book.arrive(it.now, &it.admission, hasty, false), PromiseState::Early);
    assert_eq!(it.arrive(first, 1), PromiseState::Due);
}

/// A caller that got no promise must gain nothing by returning at once either.
#[test]
fn a_return_before_the_time_of_a_refusal_without_promise_is_early() {
    let mut it = Fixture::new();
    while it.refuse(1).is_some() {}
    it.refuse(2);
    it.refuse(3);
    assert_eq!(it.arrive(it.now + ms(2), 2), PromiseState::Early);
    assert_eq!(it.arrive(it.now + ms(298), 3), PromiseState::Unpromised);
}

#[test]
fn waiting_requests_come_before_promises() {
    let mut it = Fixture::new();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let arrival = Arrival {
        is_express: false,
        objective: None,
        class: ClassIndex(0),
        route: None,
        deadline: it.now + ms(900),
        timeliness: Timeliness::InTime,
    };
    for _ in 0..2 {
        it.admission.offer(it.now, arrival, &mut rng, &mut Vec::new());
    }
    assert_eq!(it.admission.queued(), 1);
    assert!(it.refuse(1).unwrap().since(it.now) >= ms(200));
}

/// A less urgent class would otherwise be promised the room of requests that start before it.
#[test]
fn new_requests_of_more_urgent_classes_leave_less_room() {
    let promised = |arriving: usize, refused: usize| {
        let mut it = Fixture::with_weights([4.0, 1.0]);
        for step in 0..20 {
            let at = it.now + ms(100 * step);
            let request = it.request(step, arriving, ms(900));
            it.book.arrive(at, &it.admission, request, false);
        }
        it.now = it.now + ms(2000);
        let request = it.request(99, refused, ms(900));
        it.book.refuse(it.now, &it.admission, request).is_promised
    };
    assert!(!promised(0, 0), "new requests of the class fill the slot");
    assert!(!promised(0, 1), "new requests of a more urgent class fill the slot");
    assert!(promised(1, 0), "new requests of a less urgent class don't count");
}

#[test]
fn promises_keep_to_a_lower_rate_limit() {
    let mut it = Fixture::new();
    let limit = SharedRateLimit::new(it.now);
    limit.with(|it| it.set_stated_rate(RequestRate::from_per_s(4.0)));
    let config = config(1, ms(500), [1.0]);
    it.admission = Admission::new(config, it.now).with_rate_limit(limit);
    assert!(it.refuse(1).unwrap().since(it.now) >= ms(250));
    assert_eq!(it.refuse(2), None, "four starts a second leave no room for two in 300 ms");
}

/// A new book is what a gate has after a restart, and after the loss of its upstream.
#[test]
fn an_empty_book_takes_returns_for_new_requests_and_does_not_assume_an_idle_upstream() {
    let mut it = Fixture::new();
    let at = it.refuse(1).unwrap();
    it.book = ReturnBook::new(it.now, [1.0]);
    for step in 0..5 {
        let request = it.request(10 + step, 0, ms(900));
        it.book.arrive(it.now + ms(50 * step), &it.admission, request, false);
    }
    assert_eq!(it.arrive(at, 1), PromiseState::Unpromised);
    it.now = it.now + ms(200);
    assert_eq!(it.refuse(2), None, "one request in 50 ms is more than one slot of 100 ms serves");
}

#[test]
fn a_suspension_longer_than_the_horizon_empties_the_book() {
    let mut it = Fixture::new();
    it.refuse(1).unwrap();
    assert_eq!(it.book.promised(it.now), 1);
    let request = ReturnRequest { deadline: it.now + ms(9000), ..it.request(2, 0, ms(0)) };
    let time = it.book.refuse(it.now, &it.admission, request);
    assert!(time.is_promised);
    it.now = it.now + ms(2001);
    let first_after = it.refuse(3).unwrap();
    assert_eq!(it.book.promised(it.now), 1, "promises of the time before are kept");
    assert!(first_after.since(it.now) <= ms(120), "room of the time before counts as taken");
}

#[test]
fn the_number_of_promises_is_bounded_and_expired_ones_make_space() {
    let mut it = Fixture::new();
    it.admission = Admission::new(config(60_000, ms(500), [1.0]), it.now);
    let promised = (0..3000).filter(|content| it.refuse(*content).is_some()).count();
    assert_eq!(promised, 1024);
    assert_eq!(it.book.promised(it.now), 1024);
    it.now = it.now + ms(450);
    assert!(it.refuse(1).is_some());
}

#[test]
fn a_promised_return_starts_before_new_requests_and_is_refused_in_time() {
    let now = Timestamp::from_ms(1000);
    let mut admission = Admission::new(config(1, ms(500), [1.0]), now);
    let (mut rng, mut decisions) = (Pcg64Mcg::seed_from_u64(1), Vec::new());
    let mut offer = |admission: &mut Admission, timeliness, deadline: u64| -> Ticket {
        let deadline = now + ms(deadline);
        let arrival = Arrival {
            class: ClassIndex(0),
            route: None,
            deadline,
            timeliness,
            is_express: false,
            objective: None,
        };
        admission.offer(now, arrival, &mut rng, &mut decisions)
    };
    let running = offer(&mut admission, Timeliness::InTime, 900);
    offer(&mut admission, Timeliness::InTime, 500);
    let promised = offer(&mut admission, Timeliness::Promised, 900);
    let wakeup = admission.next_wakeup(now).unwrap();
    assert!(wakeup < now + ms(500), "the deadline of a new request is hidden by the promised one");
    let completion = crate::Completion::Answered;
    decisions.clear();
    admission.finish(now + ms(10), running, completion, &mut rng, &mut decisions);
    let started = decisions.iter().find(|it| it.verdict == Verdict::Start).map(|it| it.ticket);
    assert_eq!(started, Some(promised));
}
