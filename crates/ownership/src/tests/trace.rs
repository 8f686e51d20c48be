//! Replays of traces from text files, with their expected outcomes.
//!
//! A line is `TIME COMMAND ARGUMENTS...`, with the time in milliseconds since the previous line. `name X ROLE` names a
//! host by its current role: `coordinator`, or `member N` (the Nth host, from 0, other than the coordinator). Other
//! commands take a host by its name or its index. `watch` starts measuring the time for which slots have no owner,
//! `until CONDITION MAX` waits for a condition for up to MAX milliseconds, and `expect` checks an outcome. Lines before
//! the first command set the configuration. The rest of a line after `#` is a comment.

use std::{collections::BTreeMap, time::Duration};

use model::SlotCount;

use crate::{
    Confirmation, Limits, UpstreamState,
    sim::{Fault, Sim, SimConfig},
};

/// Result of a replay.
pub(super) struct Replay {
    pub(super) sim: Sim,
    /// Longest time without an owner over all slots while `watch` was in effect.
    pub(super) longest_ms: u64,
    /// Expected outcomes that did not occur.
    pub(super) unmet: Vec<String>,
}

/// Executor of the commands of a trace.
struct TracePlayer {
    sim: Sim,
    zones: usize,
    /// Hosts by the names given in the trace.
    names: BTreeMap<String, usize>,
    /// `watch` is in effect: times without an owner are measured.
    is_measuring: bool,
    /// Longest time without an owner of each slot.
    longest: Vec<Duration>,
    /// Expected outcomes that did not occur.
    unmet: Vec<String>,
}

/// Replays a trace, with `seed` instead of the trace's own seed if given.
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
                    TracePlayer::new(SimConfig { seed, ..config.clone() })
                });
                player.advance(Duration::from_millis(number(time)));
                player.run_command(command, &words[2..]);
            }
            _ => panic!("invalid line in trace, expected TIME COMMAND: {line}"),
        }
    }
    let player = player.expect("a trace contains at least one command");
    let longest = player.longest.iter().max().copied().unwrap_or_default();
    let longest_ms = longest.as_millis() as u64;
    Replay { sim: player.sim, longest_ms, unmet: player.unmet }
}

fn number(word: &str) -> u64 {
    word.parse().unwrap_or_else(|_| panic!("expected a number in trace, got {word}"))
}

impl TracePlayer {
    fn new(config: SimConfig) -> TracePlayer {
        TracePlayer {
            zones: config.zones,
            sim: Sim::new(config),
            names: BTreeMap::new(),
            is_measuring: false,
            longest: Vec::new(),
            unmet: Vec::new(),
        }
    }

    /// Advances virtual time, and measures the time without an owner if `watch` is in effect.
    fn advance(&mut self, duration: Duration) {
        if !self.is_measuring {
            return self.sim.run_for(duration);
        }
        let gaps = self.sim.longest_gaps(duration);
        self.longest.resize(gaps.len(), Duration::ZERO);
        for (longest, gap) in self.longest.iter_mut().zip(gaps) {
            *longest = gap.max(*longest);
        }
    }

    /// Returns a host by its name in the trace or its index.
    fn host(&self, word: &str) -> usize {
        match self.names.get(word) {
            Some(it) => *it,
            None => number(word) as usize,
        }
    }

    /// Executes a command of the trace.
    fn run_command(&mut self, command: &str, words: &[&str]) {
        let hosts = || words.iter().map(|it| self.host(it)).collect::<Vec<_>>();
        let fault = match (command, words) {
            ("name", [name, role @ ..]) => {
                let host = self.role(role);
                self.names.insert((*name).to_owned(), host);
                return;
            }
            ("log", []) => return self.sim.enable_log(),
            ("watch", []) => return self.is_measuring = true,
            ("until", [condition, max_ms]) => return self.until(condition, number(max_ms)),
            ("expect", words) => return self.expect(words),
            ("crash_zone_of", [host]) => return self.crash_zone_of(self.host(host)),
            ("start", ["all"]) => return self.sim.start_all(),
            ("heal", []) => return self.sim.heal(),
            ("start", [host]) => Fault::Start(self.host(host)),
            ("crash", [host]) => Fault::Crash(self.host(host)),
            ("stop", [host]) => Fault::Stop(self.host(host)),
            ("pause", [host, ms]) => {
                Fault::Pause { host: self.host(host), duration_ms: number(ms) }
            }
            ("pause_in_step", [host, ms]) => {
                Fault::PauseInStep { host: self.host(host), duration_ms: number(ms) }
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
            _ => panic!("unknown command or wrong arguments in trace: {command} {words:?}"),
        };
        self.sim.apply(fault);
    }

    fn crash_zone_of(&mut self, host: usize) {
        let zones = self.zones;
        for it in (0..self.sim.host_count()).filter(|it| it % zones == host % zones) {
            self.sim.apply(Fault::Crash(it));
        }
    }

    /// Returns the host that has a role now.
    fn role(&self, role: &[&str]) -> usize {
        let coordinator = self.sim.coordinator().expect("a host is coordinator");
        match role {
            ["coordinator"] => coordinator,
            ["member", nth] => {
                let others = (0..self.sim.host_count()).filter(|it| *it != coordinator);
                others
                    .into_iter()
                    .nth(number(nth) as usize)
                    .expect("the group has a member with this number")
            }
            _ => panic!("expected coordinator or member N in trace, got {role:?}"),
        }
    }

    /// Returns whether a condition holds now.
    fn condition_holds(sim: &Sim, condition: &str) -> bool {
        let confirmation = sim.coordinator_object().map(|it| it.confirmation);
        match condition {
            "served" => sim.unowned_slots() == 0 && sim.unowned_keys() == 0,
            "settled" => sim.is_settled(),
            "by_witnesses" => confirmation == Some(Confirmation::Witnesses),
            "by_platform" => confirmation == Some(Confirmation::Platform),
            "key_entry" => sim.key_entries() > 0,
            _ => panic!("unknown condition in trace: {condition}"),
        }
    }

    /// Waits until a condition holds, and records it as unmet if it does not in time.
    fn until(&mut self, condition: &str, max_ms: u64) {
        let max = Duration::from_millis(max_ms);
        if !self.sim.run_until(max, |it| TracePlayer::condition_holds(it, condition)) {
            self.unmet.push(format!("{condition} did not hold within {max_ms} ms"));
        }
    }

    /// Checks an expected outcome, and records it if it is unmet.
    fn expect(&mut self, words: &[&str]) {
        let longest = self.longest.iter().max().copied().unwrap_or_default().as_millis() as u64;
        let is_met = match words {
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
            [condition] => TracePlayer::condition_holds(&self.sim, condition),
            _ => panic!("unknown outcome in trace: {words:?}"),
        };
        if !is_met {
            self.unmet.push(format!(
                "expect {} (longest time without an owner: {longest} ms)",
                words.join(" ")
            ));
        }
    }
}

fn check_trace(text: &str) {
    let replay = replay(text, None);
    assert_eq!(replay.sim.violation(), None);
    let log = replay.sim.log().join("\n");
    assert!(
        replay.unmet.is_empty(),
        "unmet: {:?}, longest time without an owner: {} ms\n{log}",
        replay.unmet,
        replay.longest_ms
    );
}

/// Defines a test for each trace file.
macro_rules! traces {
    ($($name:ident: $file:literal;)*) => {$(
        #[test]
        fn $name() {
            check_trace(include_str!(concat!("../../traces/", $file, ".trace")));
        }
    )*};
}

traces! {
    a_paused_owner_resumes_after_its_lease: "frozen-holder-returns";
    coordinator_and_another_owner_are_lost: "coordinator-and-owner-lost";
    the_zone_of_the_coordinator_is_lost: "zone-lost";
    a_member_is_lost_while_the_platform_is_unavailable: "platform-down-during-loss";
    a_partition_leads_to_a_second_coordinator: "partition-two-coordinators";
    the_reply_to_a_plan_update_is_lost: "lost-answer-of-a-plan";
    the_reply_to_a_change_of_confirmation_is_lost: "lost-answer-of-a-mode";
    several_terms_end_before_they_are_settled: "terms-in-quick-succession";
    an_unsettled_term_is_released: "release-of-an-unsettled-term";
    the_platform_is_unavailable_beyond_the_limit: "platform-absent-too-long";
    all_members_stop_one_after_another: "all-stop-one-after-another";
    hot_keys_survive_losses_and_an_outage: "hot-key";
    confirmation_changes_to_witnesses_during_a_loss: "witnesses-at-the-moment-of-a-loss";
    a_witness_restarts_without_reaching_the_platform: "witness-that-has-forgotten";
}
