//! The decisions under overload together, in virtual time: gates of 60 uneven upstreams whose runs call each other, and
//! callers that return after a refusal. No network and no platform; only the decisions, with the types of the product.

mod workload;
mod world;

#[cfg(test)]
mod tests;

use serde::Serialize;

use workload::KINDS;
use world::World;

/// The load of one run, and the parts that are on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Case {
    seed: u64,
    /// The load during the burst, as a multiple of the usual load.
    factor: f64,
    burst_s: (f64, f64),
    duration_s: f64,
    parts: Parts,
}

/// The parts that are on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(super) struct Parts {
    express: bool,
    call_failures: bool,
    concurrency: bool,
    capacity: bool,
    returns: bool,
}

/// The ends of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(super) struct KindResult {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Refused without a return.
    refused: u32,
    refused_twice: u32,
    failed_by_call: u32,
    /// Ended by their deadline while they ran.
    expired: u32,
}

/// The result of one case.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct CaseResult {
    factor: f64,
    parts: Parts,
    kinds: Vec<(&'static str, KindResult)>,
    /// Least share of requests served in time among those sent in one second.
    worst_second: f64,
    /// Share of the work offered during the burst that the slots can do, by service.
    bound: Vec<f64>,
}

/// Results of all cases.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct OverloadReport {
    cases: Vec<CaseResult>,
}

const FACTORS: [f64; 3] = [1.3, 2.0, 3.0];
const BURST_S: (f64, f64) = (3.0, 6.0);
const DURATION_S: f64 = 10.0;

impl Parts {
    const ALL: Parts = Parts {
        express: true,
        call_failures: true,
        concurrency: true,
        capacity: true,
        returns: true,
    };

    /// Returns the combinations that are compared: none, each part alone, all, and all but one.
    fn compared() -> Vec<Parts> {
        let none = Parts::default();
        let all = Parts::ALL;
        vec![
            none,
            Parts { express: true, ..none },
            Parts { call_failures: true, ..none },
            Parts { concurrency: true, ..none },
            Parts { capacity: true, ..none },
            Parts { returns: true, ..none },
            all,
            Parts { express: false, ..all },
            Parts { call_failures: false, ..all },
            Parts { concurrency: false, ..all },
            Parts { capacity: false, ..all },
            Parts { returns: false, ..all },
        ]
    }

    /// Returns one letter for each part, in the order of the design page, or a hyphen for one that is off.
    fn letters(self) -> String {
        let letter = |is_on: bool, it: char| if is_on { it } else { '-' };
        [
            letter(self.express, 'A'),
            letter(self.call_failures, 'B'),
            letter(self.concurrency, 'C'),
            letter(self.capacity, 'D'),
            letter(self.returns, 'E'),
        ]
        .iter()
        .collect()
    }
}

impl Case {
    /// Returns the load at a time as a multiple of the usual load.
    fn factor_at(&self, at_s: f64) -> f64 {
        match (self.burst_s.0..self.burst_s.1).contains(&at_s) {
            true => self.factor,
            false => 1.0,
        }
    }

    pub(super) fn play(&self) -> CaseResult {
        let mut world = World::new(*self);
        world.run();
        let share = |it: &(u32, u32)| f64::from(it.1) / f64::from(it.0.max(1));
        CaseResult {
            factor: self.factor,
            parts: self.parts,
            kinds: KINDS.iter().map(|it| it.name).zip(world.results.iter().copied()).collect(),
            worst_second: world.seconds.iter().map(share).fold(1.0, f64::min),
            bound: workload::served_shares(self.factor),
        }
    }
}

impl CaseResult {
    /// Returns the result of a kind.
    ///
    /// # Panics
    ///
    /// Panics if there is no such kind.
    #[cfg(test)]
    fn kind(&self, name: &str) -> KindResult {
        self.kinds.iter().find(|it| it.0 == name).expect("the kind exists").1
    }

    /// Returns how many requests of callers were served in time.
    #[cfg(test)]
    fn in_time_of_callers(&self) -> u32 {
        let of_callers = KINDS.iter().zip(&self.kinds).filter(|(kind, _)| kind.per_s > 0.0);
        of_callers.map(|(_, (_, it))| it.in_time).sum()
    }

    /// Returns the line of the case: in time, refused twice and failed by a call in percent of each kind.
    fn line(&self) -> String {
        let percent = |part: u32, of: u32| f64::from(part) * 100.0 / f64::from(of.max(1));
        let kind = |(name, it): &(&str, KindResult)| {
            let [in_time, twice, failed] = [it.in_time, it.refused_twice, it.failed_by_call]
                .map(|part| percent(part, it.asked));
            format!("{name} {in_time:.1}/{twice:.1}/{failed:.1}")
        };
        let kinds: Vec<String> = self.kinds.iter().map(kind).collect();
        let bound: Vec<String> = self.bound.iter().map(|it| format!("{it:.2}")).collect();
        format!(
            "{:.1} {} worst second {:.3}, bound {}: {}",
            self.factor,
            self.parts.letters(),
            self.worst_second,
            bound.join(" "),
            kinds.join(", ")
        )
    }
}

impl OverloadReport {
    pub(super) fn lines(&self) -> Vec<String> {
        let title = "load, parts: percent in time / refused twice / failed by a call".to_owned();
        std::iter::once(title).chain(self.cases.iter().map(CaseResult::line)).collect()
    }
}

/// Plays all loads with the compared combinations of parts.
pub(super) fn run(seed: u64) -> OverloadReport {
    let case =
        |factor, parts| Case { seed, factor, burst_s: BURST_S, duration_s: DURATION_S, parts };
    let cases = FACTORS
        .iter()
        .flat_map(|factor| Parts::compared().into_iter().map(move |it| case(*factor, it)));
    OverloadReport { cases: cases.map(|it| it.play()).collect() }
}
