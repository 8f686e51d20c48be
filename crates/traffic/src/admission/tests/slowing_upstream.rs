//! Plays overload of an upstream whose requests slow each other down, with the limit learned and without it.
//!
//! Each running request advances at a speed that depends on the number in flight at that moment. Requests are of two
//! kinds with unlike service times, and their mix shifts half-way.

use std::time::Duration;

use model::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fixture, config, ms};
use crate::{
    Admission, AdmissionConfig, Arrival, ClassIndex, Completion, ConcurrencyLimit, Decision,
    RouteIndex, Ticket, Timeliness, Verdict,
};

const SLOTS: usize = 7;
/// The slots of an upstream of which one slot is a small share.
const MANY_SLOTS: usize = 32;
const KIND_MS: [f64; 2] = [60.0, 150.0];
/// The share of the first kind in the first and in the second half.
const FIRST_KIND_SHARES: [f64; 2] = [0.8, 0.3];
/// The load that is offered, relative to what the upstream can take.
const LOAD: f64 = 1.3;
/// The least share of its completions that an upstream that does not slow down keeps with the part on.
const KEPT_MIN: f64 = 0.98;
const SEEDS: std::ops::Range<u64> = 1..4;
const PLAYED: Duration = Duration::from_secs(90);
const DEADLINE: Duration = Duration::from_millis(600);

/// The slowdown with 1 to 7 sevenths of the slots in use; in between it is interpolated.
type Slowdowns = [f64; SLOTS];
const STEEP: Slowdowns = [1.0, 1.0, 1.0, 1.0, 1.5, 2.2, 3.0];
const FLAT: Slowdowns = [1.0; SLOTS];

/// How an upstream behaves, and what it states.
#[derive(Clone, Copy)]
struct Upstream {
    /// The slots that it announces.
    slots: usize,
    slowdowns: Slowdowns,
    /// Whether it is three times slower for 0.4 s of each 3 s, whatever its load.
    has_slow_phases: bool,
    /// The waiting requests that it states.
    waiting: Option<u16>,
    /// Whether the work of a request is exponentially distributed, rather than uniformly around its mean.
    is_exponential: bool,
}

const UPSTREAM: Upstream = Upstream {
    slots: SLOTS,
    slowdowns: FLAT,
    has_slow_phases: false,
    waiting: None,
    is_exponential: false,
};

impl Upstream {
    fn slowdown(&self, now: Timestamp, in_flight: usize) -> f64 {
        let is_slow = self.has_slow_phases && now.since(Timestamp::ZERO).as_millis() % 3000 < 400;
        let phase = if is_slow { 3.0 } else { 1.0 };
        phase * self.slowdown_by_load(in_flight)
    }

    fn slowdown_by_load(&self, in_flight: usize) -> f64 {
        let in_use = in_flight as f64 * SLOTS as f64 / self.slots as f64;
        let in_use = in_use.clamp(1.0, SLOTS as f64);
        let (lower, higher) = (in_use.floor() as usize - 1, in_use.ceil() as usize - 1);
        let [lower, higher] = [lower, higher].map(|it| self.slowdowns[it]);
        lower + (higher - lower) * in_use.fract()
    }

    /// Returns the most work that it does at a time, in requests.
    fn capacity(&self) -> f64 {
        let rates = (1..=self.slots).map(|it| it as f64 / self.slowdown_by_load(it));
        rates.fold(0.0, f64::max)
    }
}

struct Running {
    ticket: Ticket,
    arrived: Timestamp,
    work_left_s: f64,
}

struct Play {
    upstream: Upstream,
    admission: Admission,
    rng: Pcg64Mcg,
    jitter: Pcg64Mcg,
    now: Timestamp,
    /// The arrivals by time, with the seconds of work of each.
    arrived: Vec<(Timestamp, f64)>,
    running: Vec<Running>,
    in_time: u32,
}

impl Play {
    fn new(upstream: Upstream, slots: usize, is_learned: bool, seed: u64) -> Play {
        let config = AdmissionConfig { slow_start: ms(2000), ..config(slots, &[1.0]) };
        let limit = is_learned.then(|| ConcurrencyLimit::new(slots));
        Play {
            upstream,
            admission: Admission::new(config, Timestamp::ZERO).with_concurrency_limit(limit),
            // The admission draws its jitter from another one, so that each play has the same arrivals.
            jitter: Pcg64Mcg::seed_from_u64(seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Timestamp::ZERO,
            arrived: Vec::new(),
            running: Vec::new(),
            in_time: 0,
        }
    }

    fn step(&mut self, event: impl FnOnce(&mut Play, &mut Vec<Decision>)) {
        let mut decisions = Vec::new();
        event(self, &mut decisions);
        for it in decisions.iter().filter(|it| it.verdict == Verdict::Start) {
            // Tickets are numbered from 0, so they are indexes into `arrived`.
            let (arrived, work_left_s) = self.arrived[it.ticket.0 as usize];
            self.running.push(Running { ticket: it.ticket, arrived, work_left_s });
        }
    }

    /// Advances all running requests, and ends one that has no work left by then.
    fn advance(&mut self, at: Timestamp) {
        let slowdown = self.upstream.slowdown(self.now, self.running.len());
        let passed_s = at.since(self.now).as_secs_f64() / slowdown;
        self.running.iter_mut().for_each(|it| it.work_left_s -= passed_s);
        self.now = at;
        let Some(index) = self.running.iter().position(|it| it.work_left_s <= 1e-9) else { return };
        let it = self.running.swap_remove(index);
        self.in_time += u32::from(at.since(it.arrived) <= DEADLINE);
        self.step(|play, decisions| {
            if let Some(waiting) = play.upstream.waiting {
                play.admission.record_waiting(it.ticket, waiting);
            }
            let completion = Completion::Answered;
            play.admission.finish(at, it.ticket, completion, &mut play.jitter, decisions);
        });
    }

    fn next_end(&self) -> Option<Timestamp> {
        let left = self.running.iter().map(|it| it.work_left_s.max(0.0));
        let left_s = left.min_by(f64::total_cmp)?;
        let slowdown = self.upstream.slowdown(self.now, self.running.len());
        Some(self.now + Duration::from_secs_f64(left_s * slowdown))
    }

    fn arrive(&mut self, kind: usize) {
        let spread = match self.upstream.is_exponential {
            true => -self.rng.random_range(f64::EPSILON..1.0).ln(),
            false => self.rng.random_range(0.5..1.5),
        };
        self.arrived.push((self.now, KIND_MS[kind] / 1000.0 * spread));
        let open_slots = self.admission.slots_at(self.now);
        let slots = self.upstream.slots;
        assert!(open_slots <= slots, "{open_slots} of {slots} slots are open");
        let arrival = Arrival {
            is_express: false,
            objective: None,
            class: ClassIndex(0),
            route: Some(RouteIndex(kind)),
            deadline: self.now + DEADLINE,
            timeliness: Timeliness::InTime,
        };
        self.step(|play, decisions| {
            play.admission.offer(play.now, arrival, &mut play.jitter, decisions);
        });
    }

    /// Plays the load, and returns the completions in time.
    fn run(mut self) -> u32 {
        let mut next_arrival = self.now;
        let (start, end) = (self.now, self.now + PLAYED);
        while self.now < end {
            // Slow phases begin and end at whole steps of 20 ms.
            let step = Timestamp { ns: (self.now.ns / 20_000_000 + 1) * 20_000_000 };
            let wakeup = self.admission.next_wakeup(self.now).unwrap_or(step).max(self.now);
            let next_end = self.next_end().unwrap_or(step);
            self.advance(step.min(wakeup).min(next_end).min(next_arrival));
            self.step(|play, decisions| play.admission.tick(play.now, &mut play.jitter, decisions));
            if self.now < next_arrival {
                continue;
            }
            let half = usize::from(self.now.since(start) > PLAYED / 2);
            let share = FIRST_KIND_SHARES[half];
            let mean_s = (share * KIND_MS[0] + (1.0 - share) * KIND_MS[1]) / 1000.0;
            let gap_s = mean_s / (LOAD * self.upstream.capacity());
            next_arrival =
                self.now + Duration::from_secs_f64(gap_s * self.rng.random_range(0.0..2.0));
            let kind = usize::from(!self.rng.random_bool(share));
            self.arrive(kind);
        }
        self.in_time
    }
}

/// Returns the completions in time over all seeds.
fn completions(upstream: Upstream, slots: usize, is_learned: bool) -> f64 {
    SEEDS.map(|seed| f64::from(Play::new(upstream, slots, is_learned, seed).run())).sum()
}

/// Asserts that an upstream that is best with four sevenths of its slots completes nearly as many as if it had announced
/// only these.
#[track_caller]
fn assert_learns(upstream: Upstream) {
    let off = completions(upstream, upstream.slots, false);
    let on = completions(upstream, upstream.slots, true);
    let best = completions(upstream, upstream.slots * 4 / SLOTS, false);
    assert!(on >= 0.85 * best, "{on} in time, {best} with the best number of slots");
    assert!(on >= 1.2 * off, "{on} in time, {off} without learning");
}

#[track_caller]
fn assert_keeps_capacity(upstream: Upstream) {
    let off = completions(upstream, upstream.slots, false);
    let on = completions(upstream, upstream.slots, true);
    assert!(on >= KEPT_MIN * off, "{on} in time, {off} without learning");
}

/// Guards against a gate that keeps a full upstream in a state in which it completes little more than half.
#[test]
fn upstream_that_slows_down_completes_more() {
    let steep = Upstream { slowdowns: STEEP, ..UPSTREAM };
    assert_learns(steep);
    assert_learns(Upstream { waiting: Some(3), ..steep });
    assert_learns(Upstream { has_slow_phases: true, ..steep });
}

/// With one slot in a trial, each loss of many slots is below the 5% from which the limit is lowered.
#[test]
fn upstream_with_many_slots_that_slows_down_completes_more() {
    assert_learns(Upstream { slots: MANY_SLOTS, slowdowns: STEEP, ..UPSTREAM });
}

/// A statement that nothing waits must not keep more in flight than the measurements show to be best.
#[test]
fn upstream_that_falsely_states_room_completes_more() {
    assert_learns(Upstream { slowdowns: STEEP, waiting: Some(0), ..UPSTREAM });
}

/// Guards against a limit that follows noise, or slowdowns that have another cause than the number in flight.
#[test]
fn upstream_that_does_not_slow_down_keeps_its_capacity() {
    assert_keeps_capacity(UPSTREAM);
    assert_keeps_capacity(Upstream { is_exponential: true, ..UPSTREAM });
    assert_keeps_capacity(Upstream { has_slow_phases: true, ..UPSTREAM });
}

/// A statement that requests wait must not take slots that the upstream uses.
#[test]
fn upstream_that_falsely_states_waiting_keeps_its_capacity() {
    let stating = Upstream { waiting: Some(u16::MAX), ..UPSTREAM };
    assert_keeps_capacity(stating);
    assert_keeps_capacity(Upstream { is_exponential: true, ..stating });
}

/// One of many slots adds less to the completion rate than the error of a trial.
#[test]
fn upstream_with_many_slots_that_falsely_states_waiting_keeps_its_capacity() {
    assert_keeps_capacity(Upstream { slots: MANY_SLOTS, waiting: Some(3), ..UPSTREAM });
}

/// Without a wake-up at the end of an overdue trial, a request waits although a slot is free.
#[test]
fn slot_that_an_overdue_trial_held_back_is_given_to_a_waiting_request() {
    let mut it = Fixture::new(config(2, &[1.0]));
    it.admission = it.admission.with_concurrency_limit(ConcurrencyLimit::new(2));
    while it.admission.slots_at(it.now) == 2 {
        let both = [it.offer(0, ms(900)), it.offer(0, ms(900))];
        it.now = it.now + ms(10);
        both.into_iter().for_each(|ticket| it.finish(ticket));
    }
    it.offer(0, ms(20_000));
    let waiting = it.offer(0, ms(20_000));
    let wakeup = it.admission.next_wakeup(it.now).unwrap();
    assert!(wakeup.since(it.now) <= ms(5_001), "{:?}", wakeup.since(it.now));
    it.now = wakeup;
    it.tick();
    assert_eq!(it.verdict(waiting), Some(Verdict::Start));
}
