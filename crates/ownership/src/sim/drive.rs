//! Carries out what nodes ask for, and gives them what happens.

use std::time::Duration;

use model::{KeyHash, Timestamp};
use rand::RngExt;

use crate::{
    GateCommand, Input, KeyLoad, LoadReport, Message, Output, PlatformReply, PlatformRequest,
    SlotLoad, UpstreamState, ctx::is_same_incarnation, work,
};

use super::{Happening, PLATFORM_TIMEOUT, Sim, TICK_EVERY, costs};

const LOAD_EVERY_TICKS: u64 = 12;

impl Sim {
    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { host, life } => self.tick(host, life),
            Happening::Deliver { to, life, from, message } => {
                let here = self.hosts[to].instance.clone();
                if self.hosts[to].life == life
                    && is_same_incarnation(&here, &self.hosts[to].instance)
                {
                    self.input(to, Input::Message { from, message: *message });
                }
            }
            Happening::Arrive { host, life, call, request, answered } => {
                self.arrive(host, life, call, &request, answered);
            }
            Happening::Answer { host, life, call, reply } if self.hosts[host].life == life => {
                self.input(host, Input::Platform { call, reply: *reply });
            }
            Happening::Answer { .. } => {}
            Happening::Local { host, life, input } if self.hosts[host].life == life => {
                self.local(host, *input);
            }
            Happening::Local { .. } => {}
            Happening::BeginWork => self.begin_work(),
            Happening::Resume { host, life } if self.hosts[host].life == life => self.resume(host),
            Happening::Resume { .. } => {}
            Happening::Done { host, life, out } if self.hosts[host].life == life => {
                self.step_done(host, out);
            }
            Happening::Done { .. } => {}
            Happening::Fault(fault) => self.apply(fault),
        }
    }

    fn tick(&mut self, host: usize, life: u64) {
        if self.hosts[host].life != life || !self.hosts[host].is_up() {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..2000));
        self.schedule(self.now + TICK_EVERY + jitter, Happening::Tick { host, life });
        // A paused process gets its timer once, late: that is the first thing after the pause.
        if self.hosts[host].is_paused {
            return;
        }
        if self.rng.random_range(0..LOAD_EVERY_TICKS) == 0 {
            let report = self.load_of(host);
            self.input(host, Input::Load(report));
        }
        self.input(host, Input::Tick);
    }

    fn load_of(&self, host: usize) -> LoadReport {
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
        LoadReport { period_ms, total_us: total, slots, keys }.keep_heaviest()
    }

    /// What the gate and the upstream do in their own time also goes on in a pause of the agent's
    /// control thread, but the node hears of it later.
    fn local(&mut self, host: usize, input: Input) {
        if self.is_delayed(host, &input) {
            return;
        }
        match &input {
            Input::Closed { slot, token } => self.hosts[host].gate.closed(*slot, *token),
            Input::KeyClosed { key_hash, token } => {
                self.hosts[host].gate.key_closed(*key_hash, *token);
            }
            Input::Cleared { token } => self.hosts[host].clear(*token),
            _ => {}
        }
        self.input(host, input);
    }

    pub(super) fn input(&mut self, host: usize, input: Input) {
        if self.hosts[host].is_paused || self.hosts[host].is_busy {
            self.hosts[host].mailbox.push_back(input);
            return;
        }
        let clock = self.hosts[host].clock(self.now);
        let Some(node) = &mut self.hosts[host].node else { return };
        let mut out = Vec::new();
        let bytes = costs::input_bytes(&input);
        work::take_entries();
        node.step(clock, input, &mut out);
        if let Some(machine) = self.config.machine {
            let took = machine.step(bytes, work::take_entries(), &out);
            return self.keep_busy(host, took, out);
        }
        match self.hosts[host].pause_next_step_ms.take_if(|_| !out.is_empty()) {
            Some(ms) => {
                self.hosts[host].held_back = out;
                self.pause(host, Duration::from_millis(ms));
            }
            None => self.carry_out(host, out),
        }
    }

    /// The outputs of a step are carried out at its end.
    fn keep_busy(&mut self, host: usize, took: Duration, out: Vec<Output>) {
        self.longest_step = self.longest_step.max(took);
        self.hosts[host].is_busy = true;
        let life = self.hosts[host].life;
        self.schedule(self.now + took, Happening::Done { host, life, out });
    }

    fn step_done(&mut self, host: usize, out: Vec<Output>) {
        self.hosts[host].is_busy = false;
        self.carry_out(host, out);
        // A timer goes before messages, and is set anew only once it has been heard.
        let waiting = &mut self.hosts[host].mailbox;
        let tick = waiting.iter().position(|it| matches!(it, Input::Tick));
        let next = tick.and_then(|at| waiting.remove(at)).or_else(|| waiting.pop_front());
        waiting.retain(|it| !matches!(it, Input::Tick));
        if let Some(input) = next {
            self.input(host, input);
        }
    }

    pub(super) fn pause(&mut self, host: usize, duration: Duration) {
        if !self.hosts[host].is_running() {
            return;
        }
        self.note(|| format!("host {host} pauses for {} ms", duration.as_millis()));
        self.hosts[host].is_paused = true;
        let life = self.hosts[host].life;
        self.schedule(self.now + duration, Happening::Resume { host, life });
    }

    fn resume(&mut self, host: usize) {
        if !self.hosts[host].is_paused {
            return;
        }
        self.note(|| format!("host {host} resumes"));
        self.hosts[host].is_paused = false;
        let out = std::mem::take(&mut self.hosts[host].held_back);
        self.carry_out(host, out);
        let mailbox = std::mem::take(&mut self.hosts[host].mailbox);
        for input in mailbox {
            self.input(host, input);
        }
    }

    fn carry_out(&mut self, host: usize, out: Vec<Output>) {
        let life = self.hosts[host].life;
        for output in out {
            self.note_output(host, &output);
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
                    self.call(host, life, call, request);
                }
                Output::Gate(command) => {
                    self.gate_command(host, &command);
                    self.follow_up(host, life, &command);
                }
                Output::Event(event) => self.count_event(&event),
                Output::Stopped => {
                    self.hosts[host].has_stopped = true;
                    self.hosts[host].crash();
                    return;
                }
            }
        }
    }

    fn send(&mut self, from: usize, at: Option<usize>, message: Message) {
        self.messages += 1;
        let Some(at) = at else { return };
        let cut = self.links.cut.contains(&(from, at));
        if cut || self.rng.random_bool(self.links.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.links.doubled) { 2 } else { 1 };
        let life = self.hosts[at].life;
        let sender = self.hosts[from].instance.clone();
        for _ in 0..copies {
            let message = Box::new(message.clone());
            let delay = self.link_delay();
            let sent_at = self.on_link(from, &message);
            let deliver = Happening::Deliver { to: at, life, from: sender.clone(), message };
            self.schedule(sent_at + delay, deliver);
        }
    }

    /// When a message has left its host, after all that this one sent before.
    fn on_link(&mut self, from: usize, message: &Message) -> Timestamp {
        let Some(machine) = self.config.machine else { return self.now };
        let takes = machine.on_link(costs::message_bytes(message));
        let host = &mut self.hosts[from];
        host.link_busy_until = host.link_busy_until.max(self.now) + takes;
        host.link_busy_until
    }

    fn link_delay(&mut self) -> Duration {
        let usual = Duration::from_micros(self.rng.random_range(300..2000));
        if !self.rng.random_bool(self.links.late) {
            return usual;
        }
        let late_max = self.links.late_max.as_millis() as u64;
        usual + Duration::from_millis(self.rng.random_range(0..late_max))
    }

    fn call(&mut self, host: usize, life: u64, call: crate::CallId, request: PlatformRequest) {
        let unreachable = self.links.cut_from_platform.contains(&host);
        let there = Duration::from_micros(self.rng.random_range(500..3000));
        let is_update = matches!(
            request,
            PlatformRequest::UpdateCoordinator { .. } | PlatformRequest::UpdatePlan { .. }
        );
        let late = is_update && self.rng.random_bool(self.links.late_updates);
        let lost = is_update && self.rng.random_bool(self.links.lost_answers);
        let answered = !late && !lost;
        if !answered || unreachable {
            let reply = Box::new(PlatformReply::Failed);
            let failed = Happening::Answer { host, life, call, reply };
            self.schedule(self.now + PLATFORM_TIMEOUT, failed);
        }
        if unreachable {
            return;
        }
        let delay = match late {
            true => Duration::from_millis(self.rng.random_range(100..2500)),
            false => there,
        };
        let request = Box::new(request);
        let arrive = Happening::Arrive { host, life, call, request, answered };
        self.schedule(self.now + delay, arrive);
    }

    fn arrive(
        &mut self,
        host: usize,
        life: u64,
        call: crate::CallId,
        request: &PlatformRequest,
        answered: bool,
    ) {
        let back = Duration::from_micros(self.rng.random_range(500..3000));
        if self.links.platform_down {
            let reply = Box::new(PlatformReply::Failed);
            if answered {
                let at = self.now + PLATFORM_TIMEOUT;
                self.schedule(at, Happening::Answer { host, life, call, reply });
            }
            return;
        }
        let reply = Box::new(self.store.call(self.now, request));
        if answered {
            self.schedule(self.now + back, Happening::Answer { host, life, call, reply });
        }
    }

    /// The gate and the upstream take their time.
    fn follow_up(&mut self, host: usize, life: u64, command: &GateCommand) {
        let input = match command {
            GateCommand::Prepare { slot, token } => Input::Prepared { slot: *slot, token: *token },
            GateCommand::Close { slot, token, .. } => Input::Closed { slot: *slot, token: *token },
            GateCommand::CloseKey { key_hash, token, .. } => {
                Input::KeyClosed { key_hash: *key_hash, token: *token }
            }
            GateCommand::Clear { token } => Input::Cleared { token: *token },
            _ => return,
        };
        let hung = self.hosts[host].upstream == UpstreamState::Lost;
        let max_ms = if hung { 1500 } else { 30 };
        let delay = Duration::from_millis(self.rng.random_range(0..max_ms));
        let input = Box::new(input);
        self.schedule(self.now + delay, Happening::Local { host, life, input });
    }
}
