//! Processes scheduled events: passes inputs to the nodes and carries out their outputs.

use std::time::Duration;

use model::{KeyHash, Timestamp};
use rand::RngExt;

use crate::{
    Event, GateCommand, Input, KeyLoad, LoadReport, Message, Output, PlatformReply,
    PlatformRequest, SlotLoad, UpstreamState, ctx::is_same_incarnation, work,
};

use super::{PLATFORM_TIMEOUT, ScheduledEvent, Sim, TICK_INTERVAL, costs};

/// Mean number of ticks between two load reports of a host.
const TICKS_PER_LOAD_REPORT: u64 = 12;

impl Sim {
    /// Processes an event, unless it is for an earlier generation of its host.
    pub(super) fn process_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick { host, generation } => self.tick(host, generation),
            ScheduledEvent::Deliver { to, generation, from, message } => {
                let own = self.hosts[to].instance.clone();
                if self.is_refused_by_version(to, &message) {
                    return;
                }
                if self.hosts[to].generation == generation
                    && is_same_incarnation(&own, &self.hosts[to].instance)
                {
                    self.pass_input(to, Input::Message { from, message: *message });
                }
            }
            ScheduledEvent::PlatformCallArrives {
                host,
                generation,
                call,
                request,
                is_answered,
            } => {
                self.handle_platform_call(host, generation, call, &request, is_answered);
            }
            ScheduledEvent::PlatformReplyArrives { host, generation, call, reply }
                if self.hosts[host].generation == generation =>
            {
                self.pass_input(host, Input::Platform { call, reply: *reply });
            }
            ScheduledEvent::PlatformReplyArrives { .. } => {}
            ScheduledEvent::LocalInput { host, generation, input }
                if self.hosts[host].generation == generation =>
            {
                self.apply_local_input(host, *input);
            }
            ScheduledEvent::LocalInput { .. } => {}
            ScheduledEvent::StartRequests => self.start_requests(),
            ScheduledEvent::Resume { host, generation }
                if self.hosts[host].generation == generation =>
            {
                self.resume(host)
            }
            ScheduledEvent::Resume { .. } => {}
            ScheduledEvent::StepCompleted { host, generation, out }
                if self.hosts[host].generation == generation =>
            {
                self.finish_step(host, out);
            }
            ScheduledEvent::StepCompleted { .. } => {}
            ScheduledEvent::Fault(fault) => self.apply(fault),
        }
    }

    /// Passes a tick to the node of a host, sometimes after a load report, and schedules the next tick.
    fn tick(&mut self, host: usize, generation: u64) {
        if self.hosts[host].generation != generation || !self.hosts[host].is_up() {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..2000));
        self.schedule(self.now + TICK_INTERVAL + jitter, ScheduledEvent::Tick { host, generation });
        // Ticks during a pause are dropped: a paused process handles its timer once, after the pause.
        if self.hosts[host].is_paused {
            return;
        }
        if self.has_speeds() {
            self.report_measured_load(host);
        } else if self.rng.random_range(0..TICKS_PER_LOAD_REPORT) == 0 {
            let report = self.load_report(host);
            self.pass_input(host, Input::Load(report));
        }
        self.pass_input(host, Input::Tick);
    }

    /// Returns the load report of a host, from the slots and hot keys that its gate holds.
    pub(super) fn load_report(&self, host: usize) -> LoadReport {
        let gate = &self.hosts[host].gate;
        let period_ms = 250;
        let share = |us_per_s: u64| us_per_s * u64::from(period_ms) / 1000;
        let slots = gate.slots.keys().map(|slot| SlotLoad {
            slot: *slot,
            load_us: share(self.slot_loads[usize::from(slot.0)]),
            in_flight: 1,
        });
        let slots: Vec<SlotLoad> = slots.collect();
        let clock = self.hosts[host].clock(self.now);
        let holds =
            |key: &KeyHash| gate.holds_key(clock, self.config.slot_count.slot_of(*key), *key);
        let keys = self.key_loads.iter().filter(|it| holds(it.0));
        let keys: Vec<KeyLoad> =
            keys.map(|it| KeyLoad { key_hash: *it.0, load_us: share(*it.1) }).collect();
        let total = slots.iter().map(|it| it.load_us).sum::<u64>()
            + keys.iter().map(|it| it.load_us).sum::<u64>();
        LoadReport { period_ms, total_us: total, slots, keys, capacity: None }.keep_heaviest()
    }

    /// Applies the completion of a command by the gate or the upstream. A pause of the agent's control thread does not
    /// delay the completion itself, but the node receives it only after the pause.
    fn apply_local_input(&mut self, host: usize, input: Input) {
        if self.postpone_reply(host, &input) {
            return;
        }
        match &input {
            Input::Closed { slot, token } => self.hosts[host].gate.finish_close(*slot, *token),
            Input::KeyClosed { key_hash, token } => {
                self.hosts[host].gate.finish_key_close(*key_hash, *token);
            }
            Input::Cleared { token } => self.hosts[host].clear_orphaned_grants(*token),
            _ => {}
        }
        self.pass_input(host, input);
    }

    /// Passes an input to the node of a host, or queues it if the host is paused or busy with a step.
    pub(super) fn pass_input(&mut self, host: usize, input: Input) {
        if self.hosts[host].is_paused || self.hosts[host].is_busy {
            self.hosts[host].queued_inputs.push_back(input);
            return;
        }
        let clock = self.hosts[host].clock(self.now);
        let Some(node) = &mut self.hosts[host].node else { return };
        let mut out = Vec::new();
        let bytes = costs::input_bytes(&input);
        work::take_entries();
        node.step(clock, input, &mut out);
        if let Some(machine) = self.config.machine {
            let duration = machine.step_duration(bytes, work::take_entries(), &out);
            return self.schedule_step_end(host, duration, out);
        }
        match self.hosts[host].pause_next_step_ms.take_if(|_| !out.is_empty()) {
            Some(ms) => {
                self.hosts[host].held_outputs = out;
                self.pause(host, Duration::from_millis(ms));
            }
            None => self.execute_outputs(host, out),
        }
    }

    /// Marks a host busy for the duration of a step, and schedules the outputs for the end of it.
    fn schedule_step_end(&mut self, host: usize, duration: Duration, out: Vec<Output>) {
        self.longest_step = self.longest_step.max(duration);
        self.hosts[host].is_busy = true;
        let generation = self.hosts[host].generation;
        self.schedule(self.now + duration, ScheduledEvent::StepCompleted { host, generation, out });
    }

    /// Carries out the outputs of a step, and passes the next queued input to the node.
    fn finish_step(&mut self, host: usize, out: Vec<Output>) {
        self.hosts[host].is_busy = false;
        self.execute_outputs(host, out);
        // A tick takes precedence over other inputs. Further ticks are dropped, since the timer is rearmed only after a
        // tick has been handled.
        let queue = &mut self.hosts[host].queued_inputs;
        let tick = queue.iter().position(|it| matches!(it, Input::Tick));
        let next = tick.and_then(|at| queue.remove(at)).or_else(|| queue.pop_front());
        queue.retain(|it| !matches!(it, Input::Tick));
        if let Some(input) = next {
            self.pass_input(host, input);
        }
    }

    /// Pauses the agent of a host, and schedules the end of the pause.
    pub(super) fn pause(&mut self, host: usize, duration: Duration) {
        if !self.hosts[host].is_running() {
            return;
        }
        self.log_line(|| format!("host {host} pauses for {} ms", duration.as_millis()));
        self.hosts[host].is_paused = true;
        let generation = self.hosts[host].generation;
        self.schedule(self.now + duration, ScheduledEvent::Resume { host, generation });
    }

    /// Ends the pause of a host: carries out the outputs and handles the inputs that it delayed.
    fn resume(&mut self, host: usize) {
        if !self.hosts[host].is_paused {
            return;
        }
        self.log_line(|| format!("host {host} resumes"));
        self.hosts[host].is_paused = false;
        let out = std::mem::take(&mut self.hosts[host].held_outputs);
        self.execute_outputs(host, out);
        let queued_inputs = std::mem::take(&mut self.hosts[host].queued_inputs);
        for input in queued_inputs {
            self.pass_input(host, input);
        }
    }

    /// Carries out the outputs of a step, in their order.
    fn execute_outputs(&mut self, host: usize, out: Vec<Output>) {
        let generation = self.hosts[host].generation;
        for output in out {
            self.log_output(host, &output);
            match output {
                Output::Send { to, message } => {
                    let at =
                        self.hosts.iter().position(|it| is_same_incarnation(&it.instance, &to));
                    self.send(host, at, message);
                }
                Output::SendToAddress { to, message } => {
                    let at = self.hosts.iter().position(|it| it.instance.name == to.name);
                    self.send(host, at, message);
                }
                Output::Platform { call, request } => {
                    self.call_platform(host, generation, call, request);
                }
                Output::Gate(command) => {
                    self.apply_gate_command(host, &command);
                    self.schedule_gate_reply(host, generation, &command);
                }
                Output::Event(event) => {
                    if let Event::BecameCoordinator { term } = event {
                        self.checker.check_term(term, host, generation, self.now);
                    }
                    self.count_event(&event);
                }
                Output::Stopped => {
                    self.hosts[host].has_stopped = true;
                    self.hosts[host].crash();
                    return;
                }
            }
        }
    }

    /// Schedules the delivery of a message, subject to the link faults. A recipient of `None` does not exist.
    fn send(&mut self, from: usize, to: Option<usize>, message: Message) {
        self.messages += 1;
        let Some(to) = to else { return };
        let is_cut = self.links.cut_links.contains(&(from, to));
        if is_cut || self.rng.random_bool(self.links.loss_share) {
            return;
        }
        let copies = if self.rng.random_bool(self.links.duplicate_share) { 2 } else { 1 };
        let generation = self.hosts[to].generation;
        let sender = self.hosts[from].instance.clone();
        for _ in 0..copies {
            let message = Box::new(message.clone());
            let delay = self.link_delay();
            let sent_at = self.reserve_link(from, &message);
            let delivery =
                ScheduledEvent::Deliver { to, generation, from: sender.clone(), message };
            self.schedule(sent_at + delay, delivery);
        }
    }

    /// Returns the time at which a message has left its host, after all earlier messages of the host.
    fn reserve_link(&mut self, from: usize, message: &Message) -> Timestamp {
        let Some(machine) = self.config.machine else { return self.now };
        let duration = machine.transmission_time(costs::message_bytes(message));
        let host = &mut self.hosts[from];
        host.link_busy_until = host.link_busy_until.max(self.now) + duration;
        host.link_busy_until
    }

    /// Draws the delay of a message on a link.
    fn link_delay(&mut self) -> Duration {
        let base_delay = Duration::from_micros(self.rng.random_range(300..2000));
        if !self.rng.random_bool(self.links.late_share) {
            return base_delay;
        }
        let late_delay_max = self.links.late_delay_max.as_millis() as u64;
        base_delay + Duration::from_millis(self.rng.random_range(0..late_delay_max))
    }

    /// Schedules the arrival of a call at the platform, or its failure.
    fn call_platform(
        &mut self,
        host: usize,
        generation: u64,
        call: crate::CallId,
        request: PlatformRequest,
    ) {
        let is_unreachable = self.links.cut_from_platform.contains(&host);
        let to_platform = Duration::from_micros(self.rng.random_range(500..3000));
        let is_update = matches!(
            request,
            PlatformRequest::UpdateCoordinator { .. }
                | PlatformRequest::UpdatePlan { .. }
                | PlatformRequest::DrawRound { .. }
        );
        let is_late = is_update && self.rng.random_bool(self.links.late_update_share);
        let is_lost = is_update && self.rng.random_bool(self.links.lost_reply_share);
        let is_answered = !is_late && !is_lost;
        if !is_answered || is_unreachable {
            let reply = Box::new(PlatformReply::Failed);
            let failure = ScheduledEvent::PlatformReplyArrives { host, generation, call, reply };
            self.schedule(self.now + PLATFORM_TIMEOUT, failure);
        }
        if is_unreachable {
            return;
        }
        let delay = match is_late {
            true => Duration::from_millis(self.rng.random_range(100..2500)),
            false => to_platform,
        };
        let request = Box::new(request);
        let arrival =
            ScheduledEvent::PlatformCallArrives { host, generation, call, request, is_answered };
        self.schedule(self.now + delay, arrival);
    }

    /// Has the platform handle a call, and schedules its reply.
    fn handle_platform_call(
        &mut self,
        host: usize,
        generation: u64,
        call: crate::CallId,
        request: &PlatformRequest,
        is_answered: bool,
    ) {
        let from_platform = Duration::from_micros(self.rng.random_range(500..3000));
        if self.links.is_platform_down {
            let reply = Box::new(PlatformReply::Failed);
            if is_answered {
                let at = self.now + PLATFORM_TIMEOUT;
                self.schedule(
                    at,
                    ScheduledEvent::PlatformReplyArrives { host, generation, call, reply },
                );
            }
            return;
        }
        let reply = Box::new(self.store.handle_call(self.now, request));
        if let Some(term) = self.store.acquired_term.take() {
            self.checker.check_acquired_term(term, host, self.now);
        }
        if is_answered {
            self.schedule(
                self.now + from_platform,
                ScheduledEvent::PlatformReplyArrives { host, generation, call, reply },
            );
        }
    }

    /// Schedules the reply to a gate command after a delay, which is longer while the upstream is hung.
    fn schedule_gate_reply(&mut self, host: usize, generation: u64, command: &GateCommand) {
        let input = match command {
            GateCommand::Prepare { slot, token } => Input::Prepared { slot: *slot, token: *token },
            GateCommand::Close { slot, token, .. } => Input::Closed { slot: *slot, token: *token },
            GateCommand::CloseKey { key_hash, token, .. } => {
                Input::KeyClosed { key_hash: *key_hash, token: *token }
            }
            GateCommand::Clear { token } => Input::Cleared { token: *token },
            _ => return,
        };
        let is_hung = self.hosts[host].upstream == UpstreamState::Lost;
        let max_ms = if is_hung { 1500 } else { 30 };
        let delay = Duration::from_millis(self.rng.random_range(0..max_ms));
        let input = Box::new(input);
        self.schedule(self.now + delay, ScheduledEvent::LocalInput { host, generation, input });
    }
}
