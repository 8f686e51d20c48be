//! Plays one cell on paused clocks.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    address::{Address, Delivery},
    agent::{Agent, Coordinator},
    cell::{AgentCourse, CallKind, Cell, End, Progress},
    process::Process,
};
use crate::control::tests::platform::FakeStore;

/// Time in which the other instance becomes the coordinator.
const COORDINATOR_START: Duration = Duration::from_millis(500);
/// Longest step between two checks soon after an event outside the agent, and at other times.
const STEP_AFTER_EVENT: Duration = Duration::from_millis(5);
const STEP_MAX: Duration = Duration::from_millis(20);
const SOON: Duration = Duration::from_millis(60);
/// Time limit of each part of the course.
const PART_MAX: Duration = Duration::from_secs(12);
/// Time from the end of the agent to its next start.
const AGENT_RESTART: Duration = Duration::from_millis(50);
/// Longest time from the first accepted announcement of a life until it is given all keys.
const SERVED_AGAIN_MAX: Duration = Duration::from_secs(2);
/// Time for which the rules are checked after the end of a life that none follows, longer than each hold, and after the
/// next life serves all keys.
const CHECKED_WITHOUT_NEXT: Duration = Duration::from_secs(4);
const CHECKED_WITH_NEXT: Duration = Duration::from_millis(1_200);

/// Returns the faults that a cell shows.
pub(super) fn play(cell: Cell, delivery: Delivery) -> Vec<String> {
    let mut course = Course::start(cell, delivery);
    course.run();
    course.address.faults()
}

struct Course {
    now: Duration,
    cell: Cell,
    address: Address,
    store: Arc<FakeStore>,
    coordinator: Process<Coordinator>,
    /// `None` while no agent runs.
    agent: Option<Process<Agent>>,
    /// When the agent is started again, and its control address.
    restart: Option<(Duration, SocketAddr)>,
    frozen_until: Duration,
    /// When something last happened outside the agent.
    last_event_at: Duration,
    has_ended: bool,
}

impl Course {
    fn start(cell: Cell, delivery: Delivery) -> Course {
        let store = Arc::new(FakeStore::new());
        let mut coordinator = Process::start(Coordinator::start(&store));
        let mut now = Duration::ZERO;
        while now < COORDINATOR_START {
            now += STEP_MAX;
            coordinator.proceed(STEP_MAX, false);
        }
        let address = Address::new(now, cell, delivery);
        let agent = Some(Process::start(Agent::start(&address, &store, None)));
        Course {
            now,
            cell,
            address,
            store,
            coordinator,
            agent,
            restart: None,
            frozen_until: Duration::ZERO,
            last_event_at: now,
            has_ended: false,
        }
    }

    fn run(&mut self) {
        if !self.reach_call() {
            return self.fail("the state before the call was never reached");
        }
        if !self.wait(|it| it.has_ended && it.address.is_reached()) {
            return self.fail("the call of the cell was never made");
        }
        match self.cell.next {
            None => self.check_for(CHECKED_WITHOUT_NEXT),
            Some(_) => self.check_return(),
        }
    }

    /// Brings the agent to the call of the cell. Returns whether it has got there.
    fn reach_call(&mut self) -> bool {
        let Cell { call, agent, .. } = self.cell;
        if agent == AgentCourse::RestartedEarlier {
            if !self.wait(Course::serves_all) {
                return false;
            }
            self.kill_agent();
        }
        let is_reached = match (call, agent) {
            (CallKind::Clear, AgentCourse::RestartedEarlier) => {
                self.wait(|it| it.with_agent(Agent::knows_upstream))
            }
            (CallKind::Grant, _) => self.wait(|it| it.with_agent(Agent::is_cleared)),
            _ => self.wait(Course::serves_all),
        };
        if !is_reached {
            return false;
        }
        match (self.cell.progress, self.cell.end) {
            (Progress::NotSent, End::Before) => self.address.end_life(),
            _ => self.address.arm(),
        }
        match (call, &self.agent) {
            (CallKind::Release, Some(agent)) => agent.with(|it| it.close(1)),
            (CallKind::Clear, Some(agent)) if self.cell.agent != AgentCourse::RestartedEarlier => {
                agent.with(Agent::end_session);
            }
            _ => {}
        }
        true
    }

    /// Waits until the next life serves all keys.
    fn check_return(&mut self) {
        if !self.wait(|it| it.with_agent(|agent| agent.knows_running_life(&it.address))) {
            return self.fail("rule 4: no announcement of the next life was accepted");
        }
        let accepted_at = self.now;
        if !self.wait(Course::serves_all) {
            return self.fail("rule 4: the next life was never given all keys");
        }
        let elapsed = self.now - accepted_at;
        if elapsed > SERVED_AGAIN_MAX {
            self.fail(&format!("rule 4: the next life was given all keys after {elapsed:?}"));
        }
        self.check_for(CHECKED_WITH_NEXT);
    }

    fn check_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        self.wait(|it| it.now >= until);
    }

    /// Proceeds until the condition holds. Returns whether it does within the time limit.
    fn wait(&mut self, condition: impl Fn(&Course) -> bool) -> bool {
        let until = self.now + PART_MAX;
        while self.now < until {
            if condition(self) {
                return true;
            }
            self.step();
        }
        false
    }

    /// Proceeds to the next event or check.
    fn step(&mut self) {
        let is_soon = self.now < self.last_event_at + SOON;
        let step_end = self.now + if is_soon { STEP_AFTER_EVENT } else { STEP_MAX };
        let next = self.address.next_event_at().map_or(step_end, |it| it.min(step_end));
        if next < step_end {
            self.last_event_at = next;
        }
        let elapsed = next - self.now;
        self.now = next;
        if self.address.proceed(next) {
            self.on_end();
        }
        if let Some((_, control)) = self.restart.take_if(|it| it.0 <= next) {
            let agent = Agent::start(&self.address, &self.store, Some(control));
            self.agent = Some(Process::start(agent));
        }
        self.coordinator.proceed(elapsed, false);
        if let Some(agent) = &mut self.agent {
            let is_frozen = next < self.frozen_until;
            agent.proceed(elapsed, is_frozen);
            if !is_frozen {
                agent.with(|it| it.check_usable_slots(&self.address));
            }
        }
    }

    /// Has the agent take its course at the end of the first life.
    fn on_end(&mut self) {
        self.has_ended = true;
        match self.cell.agent {
            AgentCourse::RestartedAtEnd => self.kill_agent(),
            course => self.frozen_until = self.now + course.freeze().unwrap_or_default(),
        }
    }

    fn kill_agent(&mut self) {
        self.address.detach();
        if let Some(agent) = self.agent.take() {
            self.restart = Some((self.now + AGENT_RESTART, agent.with(Agent::control_address)));
        }
    }

    fn serves_all(&self) -> bool {
        self.with_agent(|it| it.serves_all(&self.address))
    }

    /// Returns whether an agent runs for which the condition holds.
    fn with_agent(&self, condition: impl FnOnce(&Agent) -> bool) -> bool {
        self.agent.as_ref().is_some_and(|it| it.with(condition))
    }

    fn fail(&self, fault: &str) {
        self.address.record_fault(fault.to_owned());
    }
}
