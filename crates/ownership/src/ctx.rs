//! Context that a node passes to its parts during one step.

use std::{collections::VecDeque, time::Duration};

use model::{Incarnation, Instance, InstanceName, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::{CallId, Event, GateCommand, Limits, Message, NodeConfig, Output, PlatformRequest};

/// Identifies one incarnation of a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct MemberId {
    name: InstanceName,
    incarnation: Incarnation,
}

impl From<&Instance> for MemberId {
    fn from(instance: &Instance) -> MemberId {
        MemberId { name: instance.name.clone(), incarnation: instance.incarnation }
    }
}

/// Returns whether two values denote the same incarnation of an instance, regardless of its addresses.
pub(crate) fn is_same_incarnation(a: &Instance, b: &Instance) -> bool {
    a.incarnation == b.incarnation && a.name == b.name
}

/// Returns whether two values denote the same agent, in the same or in different incarnations. Two processes are
/// never bound to one address at a time, so of two incarnations the earlier one has ended.
pub(crate) fn is_same_agent(a: &Instance, b: &Instance) -> bool {
    a.name == b.name && a.control == b.control
}

/// Inputs of one step and the outputs that it produces.
pub(crate) struct Ctx<'a> {
    pub(crate) now: Timestamp,
    pub(crate) config: &'a NodeConfig,
    pub(crate) rng: &'a mut Pcg64Mcg,
    pub(crate) last_call: &'a mut CallId,
    /// Messages from this node to itself, handled within the same step.
    pub(crate) self_messages: &'a mut VecDeque<Message>,
    pub(crate) out: &'a mut Vec<Output>,
}

impl<'a> Ctx<'a> {
    pub(crate) fn own_instance(&self) -> &'a Instance {
        &self.config.instance
    }

    pub(crate) fn limits(&self) -> &'a Limits {
        &self.config.limits
    }

    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        if is_same_incarnation(to, self.own_instance()) {
            self.self_messages.push_back(message);
        } else {
            self.out.push(Output::Send { to: to.clone(), message });
        }
    }

    /// Sends to the peer's current incarnation, which may be a later one than `to` names.
    pub(crate) fn send_to_agent(&mut self, to: &Instance, message: Message) {
        if is_same_agent(to, self.own_instance()) {
            self.self_messages.push_back(message);
        } else {
            self.out.push(Output::SendToAddress { to: to.clone(), message });
        }
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.out.push(Output::Event(event));
    }

    pub(crate) fn gate(&mut self, command: GateCommand) {
        self.out.push(Output::Gate(command));
    }

    pub(crate) fn call_platform(&mut self, request: PlatformRequest) -> CallId {
        self.last_call.0 += 1;
        let call = *self.last_call;
        self.out.push(Output::Platform { call, request });
        call
    }

    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns a random duration between half of `delay` and `delay`.
    pub(crate) fn jittered(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
