//! Recorded traces in plain text, replayed with their stated outcomes.
//!
//! A line is `TIME COMMAND ARGUMENTS...`, with the time in milliseconds after the line before.
//! `name X ROLE` names a host: a number, `coordinator`, or `member N` (the Nth that does not
//! coordinate). `watch` starts the measurement of unserved time, and `until CONDITION MAX` waits.
//! The rest of a line after `#` is a comment.

use std::{collections::BTreeMap, time::Duration};

use model::SlotCount;

use crate::{
    Confirmation, Limits, UpstreamState,
    sim::{Fault, Sim, SimConfig},
};

/// What a replay came to.
pub(super) struct Replay {
    pub(super) sim: Sim,
    pub(super) longest_ms: u64,
    /// Outcomes that did not come about.
    pub(super) unmet: Vec<String>,
}

struct Player {
    sim: Sim,
    zones: usize,
    names: BTreeMap<String, usize>,
    watching: bool,
    longest: Vec<Duration>,
    unmet: Vec<String>,
}

/// Replays a trace; `seed` takes the place of the trace's own.
pub(super) fn replay(text: &str, seed: Option<u64>) -> Replay {
    let mut config = SimConfig { limits: Limits::default(), ..SimConfig::new(1) };
    let mut player = None;
    for line in text.lines() {
        let line = line.split('#').next().unwrap_or_default();
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            [] => {}
            ["hosts", count] => config.hosts = number(count) as usize,
            ["zones", count] => config.zones = number(count) as usize,
            ["slots", count] => config.slot_count = SlotCount::new(number(count) as u16).unwrap(),
            ["keys", count] => config.tracked_keys = number(count) as usize,
            ["seed", it] => config.seed = number(it),
            ["absence_max_ms", it] => {
                config.limits.platform_absence_max = Duration::from_millis(number(it));
            }
            [time, command, ..] => {
                let player = player.get_or_insert_with(|| {
                    let seed = seed.unwrap_or(config.seed);
                    Player::new(SimConfig { seed, ..config.clone() })
                });
                player.pass(Duration::from_millis(number(time)));
                player.command(command, &words[2..]);
            }
            _ => panic!("not a line of a trace: {line}"),
        }
    }
    let player = player.expect("a trace has commands");
    let longest = player.longest.iter().max().copied().unwrap_or_default();
    let longest_ms = longest.as_millis() as u64;
    Replay { sim: player.sim, longest_ms, unmet: player.unmet }
}

fn number(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("not a number: {word}"))
}

impl Player {
    fn new(config: SimConfig) -> Player {
        Player {
            zones: config.zones,
            sim: Sim::new(config),
            names: BTreeMap::new(),
            watching: false,
            longest: Vec::new(),
            unmet: Vec::new(),
        }
    }

    fn pass(&mut self, duration: Duration) {
        if !self.watching {
            return self.sim.run_for(duration);
        }
        let gaps = self.sim.longest_gaps(duration);
        self.longest.resize(gaps.len(), Duration::ZERO);
        for (longest, gap) in self.longest.iter_mut().zip(gaps) {
            *longest = gap.max(*longest);
        }
    }

    fn host(&self, word: &str) -> usize {
        match self.names.get(word) {
            Some(it) => *it,
            None => number(word) as usize,
        }
    }

    fn command(&mut self, command: &str, words: &[&str]) {
        let hosts = || words.iter().map(|it| self.host(it)).collect::<Vec<_>>();
        let fault = match (command, words) {
            ("name", [name, role @ ..]) => {
                let host = self.role(role);
                self.names.insert((*name).to_owned(), host);
                return;
            }
            ("log", []) => return self.sim.enable_log(),
            ("watch", []) => return self.watching = true,
            ("until", [condition, max_ms]) => return self.until(condition, number(max_ms)),
            ("expect", words) => return self.expect(words),
            ("crash_zone_of", [host]) => return self.crash_zone_of(self.host(host)),
            ("start", ["all"]) => return self.sim.start_all(),
            ("heal", []) => return self.sim.heal(),
            ("start", [host]) => Fault::Start(self.host(host)),
            ("crash", [host]) => Fault::Crash(self.host(host)),
            ("stop", [host]) => Fault::Stop(self.host(host)),
            ("pause", [host, ms]) => Fault::Pause { host: self.host(host), for_ms: number(ms) },
            ("pause_in_step", [host, ms]) => {
                Fault::PauseInStep { host: self.host(host), for_ms: number(ms) }
            }
            ("isolate", [_, ..]) => Fault::Isolate(hosts()),
            ("mute", [host]) => Fault::DropOutgoing(self.host(host)),
            ("deafen", [host]) => Fault::DropIncoming(self.host(host)),
            ("cut", [from, to]) => Fault::CutLink { from: self.host(from), to: self.host(to) },
            ("cut_from_platform", [host]) => Fault::CutFromPlatform(self.host(host)),
            ("platform", ["down"]) => Fault::PlatformDown,
            ("platform", ["up"]) => Fault::PlatformUp,
            ("heal_links", []) => Fault::HealLinks,
            ("lossy", [loss, duplicated, late]) => Fault::Lossy {
                loss_percent: number(loss) as u32,
                duplicate_percent: number(duplicated) as u32,
                late_percent: number(late) as u32,
            },
            ("doubtful", [lost, late]) => Fault::UncertainUpdates {
                lost_reply_percent: number(lost) as u32,
                late_update_percent: number(late) as u32,
            },
            ("upstream", [host, state]) => {
                let state = match *state {
                    "ready" => UpstreamState::Ready,
                    "draining" => UpstreamState::Draining,
                    "lost" => UpstreamState::Lost,
                    _ => UpstreamState::Starting,
                };
                Fault::Upstream { host: self.host(host), state }
            }
            ("slot_load", [slot, us]) => {
                Fault::SlotLoad { slot: number(slot) as usize, us_per_s: number(us) }
            }
            ("key_load", [key, us]) => {
                Fault::KeyLoad { key: number(key) as usize, us_per_s: number(us) }
            }
            _ => panic!("not a command: {command} {words:?}"),
        };
        self.sim.apply(fault);
    }

    fn crash_zone_of(&mut self, host: usize) {
        let zones = self.zones;
        for it in (0..self.sim.host_count()).filter(|it| it % zones == host % zones) {
            self.sim.apply(Fault::Crash(it));
        }
    }

    fn role(&self, role: &[&str]) -> usize {
        let coordinator = self.sim.coordinator().expect("there is a coordinator");
        match role {
            ["coordinator"] => coordinator,
            ["member", nth] => {
                let others = (0..self.sim.host_count()).filter(|it| *it != coordinator);
                others.into_iter().nth(number(nth) as usize).expect("there are so many members")
            }
            _ => panic!("not a role: {role:?}"),
        }
    }

    fn holds(sim: &Sim, condition: &str) -> bool {
        let confirmation = sim.coordinator_object().map(|it| it.confirmation);
        match condition {
            "served" => sim.unowned_slots() == 0 && sim.unowned_keys() == 0,
            "settled" => sim.is_settled(),
            "by_witnesses" => confirmation == Some(Confirmation::Witnesses),
            "by_platform" => confirmation == Some(Confirmation::Platform),
            "key_entry" => sim.key_entries() > 0,
            _ => panic!("not a condition: {condition}"),
        }
    }

    fn until(&mut self, condition: &str, max_ms: u64) {
        let max = Duration::from_millis(max_ms);
        if !self.sim.run_until(max, |it| Player::holds(it, condition)) {
            self.unmet.push(format!("{condition} within {max_ms} ms"));
        }
    }

    fn expect(&mut self, words: &[&str]) {
        let longest = self.longest.iter().max().copied().unwrap_or_default().as_millis() as u64;
        let met = match words {
            ["unserved_max_ms", max] => longest <= number(max),
            ["unserved_min_ms", min] => longest >= number(min),
            ["coordinator", host] => self.sim.coordinator() == Some(self.host(host)),
            ["another_coordinator", host] => self.sim.coordinator() != Some(self.host(host)),
            ["stopped", host] => self.sim.has_stopped(self.host(host)),
            ["holds_nothing", host] => self.sim.owned_by(self.host(host)).is_empty(),
            ["holds_something", host] => !self.sim.owned_by(self.host(host)).is_empty(),
            ["event", word, min] => {
                self.sim.events().get(*word).copied().unwrap_or(0) >= number(min)
            }
            [condition] => Player::holds(&self.sim, condition),
            _ => panic!("not an outcome: {words:?}"),
        };
        if !met {
            self.unmet.push(format!("expect {} (unserved {longest} ms)", words.join(" ")));
        }
    }
}

fn check(text: &str) {
    let replay = replay(text, None);
    assert_eq!(replay.sim.violation(), None);
    let log = replay.sim.log().join("\n");
    assert!(
        replay.unmet.is_empty(),
        "{:?} (longest {} ms)\n{log}",
        replay.unmet,
        replay.longest_ms
    );
}

macro_rules! traces {
    ($($name:ident: $file:literal;)*) => {$(
        #[test]
        fn $name() {
            check(include_str!(concat!("../../traces/", $file, ".trace")));
        }
    )*};
}

traces! {
    frozen_holder_returns: "frozen-holder-returns";
    coordinator_and_owner_lost: "coordinator-and-owner-lost";
    zone_lost: "zone-lost";
    platform_down_during_loss: "platform-down-during-loss";
    partition_two_coordinators: "partition-two-coordinators";
    lost_answer_of_a_plan: "lost-answer-of-a-plan";
    lost_answer_of_a_mode: "lost-answer-of-a-mode";
    terms_in_quick_succession: "terms-in-quick-succession";
    release_of_an_unsettled_term: "release-of-an-unsettled-term";
    platform_absent_too_long: "platform-absent-too-long";
    all_stop_one_after_another: "all-stop-one-after-another";
    hot_key: "hot-key";
    witnesses_at_the_moment_of_a_loss: "witnesses-at-the-moment-of-a-loss";
    witness_that_has_forgotten: "witness-that-has-forgotten";
}
