//! Cost of a step: time on the processor and on the link of its host.
//!
//! The costs are estimates of which only the order of magnitude matters: they reveal work that grows with the number
//! of slots times members. On a tenth of a core, a step takes ten times its processor time.

use std::time::Duration;

use crate::{Command, Input, Message, Output, Plan, PlatformRequest, Routes};

/// Processor time per table entry that a step visits.
const ENTRY_CPU_NS: u64 = 60;
/// Processor time per message received or sent, for the system call and the framing, in addition to the time per byte.
const MESSAGE_CPU_NS: u64 = 15_000;
/// Processor time per byte encoded or decoded.
const BYTE_CPU_NS: u64 = 12;
/// Processor time of a tick or another input from the host itself, without outputs and visited entries.
const LOCAL_INPUT_CPU_NS: u64 = 5_000;

/// Approximate length in CBOR of a message without its lists.
const BASE_MESSAGE_BYTES: u64 = 70;
/// Approximate length in CBOR of an instance.
const INSTANCE_BYTES: u64 = 70;
/// Approximate length in CBOR of a range of slots without successors.
const RANGE_BYTES: u64 = 16;
/// Approximate length in CBOR of a successor in a range of slots.
const SUCCESSOR_BYTES: u64 = 2;
/// Approximate length in CBOR of a command, a report, or the state or load of a slot or key.
const COMMAND_BYTES: u64 = 14;
/// Approximate length in JSON of a slot in a plan.
const PLAN_SLOT_BYTES: u64 = 42;

/// Processor and link capacity of a host.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Share of one core that the agent's control thread gets.
    pub core_share: f64,
    pub link_bytes_per_s: f64,
}

impl Machine {
    /// A tenth of a core and 20 Mbit/s, the smallest machine that runs an agent.
    pub const SMALL: Machine = Machine { core_share: 0.1, link_bytes_per_s: 2.5e6 };

    /// Returns the duration of a step: until its outputs are carried out and the next step can start.
    pub(super) fn step_duration(self, input_bytes: u64, entries: u64, out: &[Output]) -> Duration {
        let sent: u64 = out.iter().filter_map(output_bytes).map(message_cpu_ns).sum();
        let received =
            if input_bytes > 0 { message_cpu_ns(input_bytes) } else { LOCAL_INPUT_CPU_NS };
        let ns = sent + received + entries * ENTRY_CPU_NS;
        Duration::from_nanos((ns as f64 / self.core_share) as u64)
    }

    /// Returns how long a message of this length occupies the link.
    pub(super) fn transmission_time(self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.link_bytes_per_s)
    }
}

/// Returns the processor time for receiving or sending a message of this length.
fn message_cpu_ns(bytes: u64) -> u64 {
    MESSAGE_CPU_NS + bytes * BYTE_CPU_NS
}

/// Returns the approximate length of an input received over the network, and 0 for a local one.
pub(super) fn input_bytes(input: &Input) -> u64 {
    match input {
        Input::Message { message, .. } => message_bytes(message),
        Input::Platform { .. } => BASE_MESSAGE_BYTES,
        _ => 0,
    }
}

/// Returns the approximate length of an output sent over the network, and `None` for a local one.
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
                let kinds = it.capacity.as_ref().map_or(0, |it| it.kinds.len());
                (it.reports.len() + holding + load + kinds) as u64 * COMMAND_BYTES
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
    let successors: u64 = routes.slots.iter().map(|it| it.successors.len() as u64).sum();
    members + routes.slots.len() as u64 * RANGE_BYTES + successors * SUCCESSOR_BYTES
}
