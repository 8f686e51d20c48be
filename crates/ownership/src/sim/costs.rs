//! What a step costs its host: time on its processor, and time on its link.
//!
//! The prices are estimates, not taken from a profile. Only their size matters here: they show which work grows
//! with slots times members, and what a step costs on a tenth of a core is ten times as much of the clock.

use std::time::Duration;

use crate::{Command, Input, Message, Output, Plan, PlatformRequest, Routes};

/// Processor time for one entry of a table that a step goes through.
const ENTRY_CPU_NS: u64 = 60;
/// Processor time for a message taken in or sent, besides what its length costs: a system call and the
/// frame around it.
const MESSAGE_CPU_NS: u64 = 15_000;
/// Processor time for a byte that is encoded or decoded.
const BYTE_CPU_NS: u64 = 12;
/// A tick that finds nothing to do.
const IDLE_TICK_CPU_NS: u64 = 5_000;

/// Lengths in CBOR, about: of a message without lists, an instance, a run of slots, one more name in it, a
/// command or report, and a slot of a plan in JSON.
const BASE_MESSAGE_BYTES: u64 = 70;
const INSTANCE_BYTES: u64 = 70;
const RANGE_BYTES: u64 = 16;
const SUCCESSOR_BYTES: u64 = 2;
const COMMAND_BYTES: u64 = 14;
const PLAN_SLOT_BYTES: u64 = 42;

/// What a host may use.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// The share of one core that its control thread gets.
    pub core_share: f64,
    pub link_bytes_per_s: f64,
}

impl Machine {
    /// A tenth of a core and 20 Mbit/s: the smallest that carry an agent.
    pub const SMALL: Machine = Machine { core_share: 0.1, link_bytes_per_s: 2.5e6 };

    /// How long a step keeps the host from the next one.
    pub(super) fn step_duration(self, input_bytes: u64, entries: u64, out: &[Output]) -> Duration {
        let sent: u64 = out.iter().filter_map(output_bytes).map(message_cpu_ns).sum();
        let received = if input_bytes > 0 { message_cpu_ns(input_bytes) } else { IDLE_TICK_CPU_NS };
        let ns = sent + received + entries * ENTRY_CPU_NS;
        Duration::from_nanos((ns as f64 / self.core_share) as u64)
    }

    pub(super) fn transmission_time(self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.link_bytes_per_s)
    }
}

fn message_cpu_ns(bytes: u64) -> u64 {
    MESSAGE_CPU_NS + bytes * BYTE_CPU_NS
}

pub(super) fn input_bytes(input: &Input) -> u64 {
    match input {
        Input::Message { message, .. } => message_bytes(message),
        Input::Platform { .. } => BASE_MESSAGE_BYTES,
        _ => 0,
    }
}

fn output_bytes(output: &Output) -> Option<u64> {
    match output {
        Output::Send { message, .. } | Output::SendToAddress { message, .. } => {
            Some(message_bytes(message))
        }
        Output::Platform { request: PlatformRequest::UpdatePlan { object, .. }, .. } => {
            Some(plan_bytes(object))
        }
        Output::Platform { .. } => Some(BASE_MESSAGE_BYTES),
        Output::Gate(_) | Output::Event(_) | Output::Stopped => None,
    }
}

fn plan_bytes(plan: &Plan) -> u64 {
    plan.members.len() as u64 * INSTANCE_BYTES + plan.slots.len() as u64 * PLAN_SLOT_BYTES
}

pub(super) fn message_bytes(message: &Message) -> u64 {
    BASE_MESSAGE_BYTES
        + match message {
            Message::Renew(it) => {
                let holding = it.holding.as_ref().map_or(0, |it| it.slots.len() + it.keys.len());
                let load = it.load.as_ref().map_or(0, |it| it.slots.len() + it.keys.len());
                (it.reports.len() + holding + load) as u64 * COMMAND_BYTES
            }
            Message::Renewed(it) => {
                let commands = it.commands.iter().map(command_bytes).sum::<u64>();
                commands + it.routes.as_ref().map_or(0, |it| routes_bytes(it))
            }
            _ => 0,
        }
}

fn command_bytes(command: &Command) -> u64 {
    match command {
        Command::Close { to: Some(_), .. } | Command::CloseKey { to: Some(_), .. } => {
            COMMAND_BYTES + INSTANCE_BYTES
        }
        _ => COMMAND_BYTES,
    }
}

fn routes_bytes(routes: &Routes) -> u64 {
    let members = routes.joined.len() as u64 * INSTANCE_BYTES
        + (routes.changed.len() + routes.removed.len()) as u64 * COMMAND_BYTES;
    let names: u64 = routes.slots.iter().map(|it| it.successors.len() as u64).sum();
    members + routes.slots.len() as u64 * RANGE_BYTES + names * SUCCESSOR_BYTES
}
