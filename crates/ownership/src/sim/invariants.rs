//! Invariants of ownership, checked whenever a gate carries out a command.

use std::{collections::BTreeMap, fmt};

use model::{Fence, KeyHash, Slot, SlotCount, Term, Timestamp, Token};

use crate::{CoordinatorLease, GateCommand};

use super::{Sim, host::Host};

/// Violated invariant, with the virtual time and the hosts by index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two hosts may run requests of the same slot at the same time.
    SlotHeldTwice { slot: Slot, hosts: (usize, usize), at: Timestamp },
    /// The second host was granted a slot while the upstream of the first has a request of the slot in flight, under
    /// a lease that has not ended by that host's clock.
    RequestStillInFlight { slot: Slot, hosts: (usize, usize), at: Timestamp },
    /// Two hosts may run requests of the same key at the same time.
    KeyHeldTwice { key_hash: KeyHash, hosts: (usize, usize), at: Timestamp },
    /// A slot was admitted under a token that is not higher than all its earlier tokens.
    TokenNotIncreasing { slot: Slot, token: Token, last: Token, at: Timestamp },
    /// A slot was admitted under a token that has no fence, so that some upstreams could not be granted the slot.
    TokenWithoutFence { slot: Slot, token: Token, at: Timestamp },
    /// A host was granted a slot under a token that is not above the one under which its upstream released earlier grants,
    /// so that an upstream that checks fences refuses the grant.
    TokenNotAboveClear { slot: Slot, token: Token, cleared: Token, host: usize, at: Timestamp },
    /// Two incarnations of agents have acquired the same term.
    TermAcquiredTwice { term: u64, hosts: (usize, usize), at: Timestamp },
    /// An update of the coordinator object brought a term that is not above all terms acquired before, in whichever era
    /// of the platform.
    TermNotIncreasing { term: Term, last: Term, host: usize, at: Timestamp },
    /// A key was admitted under a token that is lower than an earlier one.
    KeyTokenDecreased { key_hash: KeyHash, token: Token, last: Token, at: Timestamp },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::SlotHeldTwice { slot, hosts, at } => {
                write!(f, "{} ms: slot {slot} is held by two hosts, {hosts:?}", at.ns / 1_000_000)
            }
            Violation::RequestStillInFlight { slot, hosts: (holder, grantee), at } => {
                let ms = at.ns / 1_000_000;
                write!(
                    f,
                    "{ms} ms: host {grantee} was granted slot {slot}, which has a request in flight on host {holder}"
                )
            }
            Violation::KeyHeldTwice { key_hash, hosts, at } => {
                write!(
                    f,
                    "{} ms: key {:x} is held by two hosts, {hosts:?}",
                    at.ns / 1_000_000,
                    key_hash.0
                )
            }
            Violation::TokenNotIncreasing { slot, token, last, at } => {
                write!(
                    f,
                    "{} ms: slot {slot} was admitted under token {token}, which is not higher than {last}",
                    at.ns / 1_000_000
                )
            }
            Violation::TokenWithoutFence { slot, token, at } => {
                let ms = at.ns / 1_000_000;
                write!(
                    f,
                    "{ms} ms: slot {slot} was admitted under token {token}, which has no fence"
                )
            }
            Violation::TokenNotAboveClear { slot, token, cleared, host, at } => {
                let ms = at.ns / 1_000_000;
                write!(
                    f,
                    "{ms} ms: host {host} was granted slot {slot} under token {token}, and cleared under {cleared}"
                )
            }
            Violation::TermAcquiredTwice { term, hosts, at } => {
                write!(f, "{} ms: hosts {hosts:?} have acquired term {term}", at.ns / 1_000_000)
            }
            Violation::TermNotIncreasing { term, last, host, at } => {
                let ms = at.ns / 1_000_000;
                write!(
                    f,
                    "{ms} ms: host {host} has acquired term {term}, which is not higher than {last}"
                )
            }
            Violation::KeyTokenDecreased { key_hash, token, last, at } => {
                let ms = at.ns / 1_000_000;
                write!(
                    f,
                    "{ms} ms: key {:x} was admitted under token {token}, which is lower than {last}",
                    key_hash.0
                )
            }
        }
    }
}

/// Highest tokens so far, the first violation, and counts of events and grants.
#[derive(Debug)]
pub(super) struct InvariantChecker {
    slot_count: SlotCount,
    /// Highest token of each slot and key so far.
    slot_tokens: BTreeMap<Slot, Token>,
    key_tokens: BTreeMap<KeyHash, Token>,
    /// The host that acquired each term, and the generation of its agent.
    term_holders: BTreeMap<u64, (usize, u64)>,
    /// Highest token under which the upstream of each host released all earlier grants.
    cleared_tokens: BTreeMap<usize, Token>,
    /// Highest term that an update of the coordinator object has brought.
    highest_term: Term,
    /// First violation.
    pub(super) violation: Option<Violation>,
    /// Number of emitted events by variant name.
    pub(super) events: BTreeMap<String, u64>,
    /// Number of grants for rebalancing or because the previous owner was leaving.
    pub(super) handovers: u64,
    /// Number of commands to admit a hot key by its own gate entry.
    pub(super) key_grants: u64,
}

impl InvariantChecker {
    pub(super) fn new(slot_count: SlotCount) -> InvariantChecker {
        InvariantChecker {
            slot_count,
            slot_tokens: BTreeMap::new(),
            key_tokens: BTreeMap::new(),
            term_holders: BTreeMap::new(),
            cleared_tokens: BTreeMap::new(),
            highest_term: Term::default(),
            violation: None,
            events: BTreeMap::new(),
            handovers: 0,
            key_grants: 0,
        }
    }

    /// Records a violation unless there is an earlier one.
    fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Checks that the token under which a slot is admitted is higher than all earlier ones, and has a fence.
    pub(super) fn check_slot_token(&mut self, slot: Slot, token: Token, at: Timestamp) {
        if Fence::try_from(token).is_err() {
            return self.record_violation(Violation::TokenWithoutFence { slot, token, at });
        }
        let last = self.slot_tokens.entry(slot).or_default();
        if token <= *last {
            let last = *last;
            return self.record_violation(Violation::TokenNotIncreasing { slot, token, last, at });
        }
        *last = token;
    }

    /// Records that the upstream of a host releases all grants under tokens up to this one.
    fn record_clear(&mut self, host: usize, token: Token) {
        let cleared = self.cleared_tokens.entry(host).or_default();
        *cleared = token.max(*cleared);
    }

    /// Checks that a host is granted a slot under a token above all under which its upstream released grants.
    fn check_token_after_clear(&mut self, host: usize, slot: Slot, token: Token, at: Timestamp) {
        let cleared = self.cleared_tokens.get(&host).copied().unwrap_or_default();
        if token <= cleared {
            let violation = Violation::TokenNotAboveClear { slot, token, cleared, host, at };
            self.record_violation(violation);
        }
    }

    /// Checks that the token of a slot that a new lease admits again is not lower than an earlier one.
    pub(super) fn check_resumed_slot_token(&mut self, slot: Slot, token: Token, at: Timestamp) {
        if self.slot_tokens.get(&slot) != Some(&token) {
            self.check_slot_token(slot, token, at);
        }
    }

    /// Checks that no other incarnation of an agent has acquired the term.
    pub(super) fn check_term(&mut self, term: u64, host: usize, generation: u64, at: Timestamp) {
        let holder = *self.term_holders.entry(term).or_insert((host, generation));
        if holder != (host, generation) {
            let hosts = (holder.0, host);
            self.record_violation(Violation::TermAcquiredTwice { term, hosts, at });
        }
    }

    /// Checks that a term brought by an update of the coordinator object is above all terms acquired before.
    pub(super) fn check_acquired_term(&mut self, term: Term, host: usize, at: Timestamp) {
        let last = self.highest_term;
        if term <= last {
            return self.record_violation(Violation::TermNotIncreasing { term, last, host, at });
        }
        self.highest_term = term;
    }

    /// Checks that a key's token is not lower than an earlier one.
    fn check_key_token(&mut self, key_hash: KeyHash, token: Token, at: Timestamp) {
        let last = self.key_tokens.entry(key_hash).or_default();
        if token < *last {
            let last = *last;
            return self.record_violation(Violation::KeyTokenDecreased {
                key_hash,
                token,
                last,
                at,
            });
        }
        *last = token;
    }
}

impl Sim {
    /// Applies a command to the gate of a host, and checks all slots and keys that the gate may serve because of it.
    pub(super) fn apply_gate_command(&mut self, host: usize, command: &GateCommand) {
        let now = self.now;
        let had_lease = {
            let it = &self.hosts[host];
            it.clock(now) < it.gate.lease_until
        };
        let enforces_leases = self.config.limits.coordinator_lease == CoordinatorLease::Full;
        if enforces_leases && *command == GateCommand::DropAll {
            self.hosts[host].orphan_grants();
            self.abort_requests_randomly(host);
        }
        self.hosts[host].gate.apply(command);
        if let GateCommand::Lease { .. } = command {
            self.hosts[host].extend_request_leases();
        }
        match command {
            GateCommand::Clear { token } => self.checker.record_clear(host, *token),
            GateCommand::Admit { slot, token } => {
                self.checker.check_token_after_clear(host, *slot, *token, now);
                // A command that a pause delayed past the end of the lease has no effect.
                if self.check_slot(host, *slot) {
                    self.checker.check_slot_token(*slot, *token, now);
                }
                for key_hash in self.tracked_keys_in(*slot) {
                    self.check_key(host, key_hash);
                }
            }
            GateCommand::AdmitKey { key_hash, .. } => {
                self.checker.key_grants += 1;
                self.check_key(host, *key_hash);
            }
            GateCommand::RemoveKey { key_hash } => {
                self.check_key(host, *key_hash);
            }
            GateCommand::Lease { .. } if !had_lease => {
                let slots = self.hosts[host].gate.slots.iter();
                let slots: Vec<(Slot, Token)> = slots.map(|it| (*it.0, it.1.token)).collect();
                for (slot, token) in slots {
                    if self.check_slot(host, slot) {
                        self.checker.check_resumed_slot_token(slot, token, now);
                    }
                }
                for key_hash in self.keys.clone() {
                    self.check_key(host, key_hash);
                }
            }
            _ => {}
        }
    }

    /// Returns the tracked keys of a slot.
    fn tracked_keys_in(&self, slot: Slot) -> Vec<KeyHash> {
        let slot_count = self.checker.slot_count;
        self.keys.iter().copied().filter(|it| slot_count.slot_of(*it) == slot).collect()
    }

    /// Checks that no other host may run requests of the slot if this host may. Returns whether this host may.
    fn check_slot(&mut self, host: usize, slot: Slot) -> bool {
        let now = self.now;
        let holds = |it: &Host| it.holds(now, slot);
        if !holds(&self.hosts[host]) {
            return false;
        }
        let other = (0..self.hosts.len()).find(|it| *it != host && holds(&self.hosts[*it]));
        if let Some(other) = other {
            let hosts = (other, host);
            self.checker.record_violation(Violation::SlotHeldTwice { slot, hosts, at: now });
        }
        let has_request =
            |it: &usize| *it != host && self.hosts[*it].has_request_in_flight(now, slot);
        if let Some(other) = (0..self.hosts.len()).find(has_request) {
            let hosts = (other, host);
            self.checker.record_violation(Violation::RequestStillInFlight { slot, hosts, at: now });
        }
        true
    }

    /// Checks that no other host may run requests of the key if this host may, and that its token has not decreased.
    fn check_key(&mut self, host: usize, key_hash: KeyHash) {
        let now = self.now;
        let slot = self.checker.slot_count.slot_of(key_hash);
        let holds = |it: &Host| it.holds_key(now, slot, key_hash);
        if !holds(&self.hosts[host]) {
            return;
        }
        let other = (0..self.hosts.len()).find(|it| *it != host && holds(&self.hosts[*it]));
        if let Some(other) = other {
            let hosts = (other, host);
            self.checker.record_violation(Violation::KeyHeldTwice { key_hash, hosts, at: now });
        }
        let gate = &self.hosts[host].gate;
        let token = gate.keys.get(&key_hash).or(gate.slots.get(&slot)).map(|it| it.token);
        if let Some(token) = token {
            self.checker.check_key_token(key_hash, token, now);
        }
    }
}
