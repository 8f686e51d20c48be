//! The cases: coordinates of the call, of the end of the upstream, of its return and of the agent.

use std::{fmt, time::Duration};

/// The call about keys in whose course the upstream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    /// The first grant under a token.
    Grant,
    /// A repetition of a grant that was accepted.
    Renewal,
    Release,
    /// The release of all grants of earlier sessions or incarnations of the agent.
    Clear,
}

/// The progress of the call that is reached about when the upstream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The agent has decided on the call, and no byte of it has left the process.
    NotSent,
    InFlight,
    Answered,
    /// The call is carried out, and its answer does not reach the agent.
    AnswerLost,
    /// The call is read when it arrives and carried out after the agent has given it up. A release takes effect when it
    /// is read; only its answer is late.
    CarriedOutLate,
}

/// Whether the upstream ends before or after the call reaches its [`Progress`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Before,
    After,
}

/// When the next life of the upstream starts at the address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Return {
    AtOnce,
    /// Once each hold of the former life would have expired.
    AfterHold,
}

/// The course of the agent when the upstream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AgentCourse {
    LivesOn,
    /// The agent was restarted before the call, so the upstream holds grants of the earlier process.
    RestartedEarlier,
    /// The agent ends together with the upstream and is started again.
    RestartedAtEnd,
    /// The agent is stopped for a time that its session outlasts.
    FrozenBriefly,
    /// The agent is stopped for longer than its lease.
    FrozenPastLease,
}

/// The first announcement of the next life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstAnnouncement {
    /// It arrives before the agent's next call about keys.
    BeforeNextCall,
    AfterNextCall,
    /// It does not arrive; the second one does.
    Lost,
}

/// How the next life differs from the former one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Identity {
    /// It has another id, and neither life states its start time.
    NewId,
    /// It has the same id and states a later start time.
    LaterStart,
}

/// The next life of the upstream; there is none if the upstream never returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NextLife {
    pub(super) starts: Return,
    pub(super) announcement: FirstAnnouncement,
    pub(super) identity: Identity,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Cell {
    pub(super) call: CallKind,
    pub(super) progress: Progress,
    pub(super) end: End,
    pub(super) agent: AgentCourse,
    pub(super) next: Option<NextLife>,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Cell { call, progress, end, agent, next } = self;
        write!(f, "{call:?}/{progress:?}/Ends{end:?}/Agent{agent:?}/")?;
        match next {
            Some(NextLife { starts, announcement, identity }) => {
                write!(f, "Returns{starts:?}/Announced{announcement:?}/{identity:?}")
            }
            None => write!(f, "NeverReturns"),
        }
    }
}

impl Cell {
    /// Returns all cells of a kind of call and a course of the agent that can exist.
    pub(super) fn all(call: CallKind, agent: AgentCourse) -> Vec<Cell> {
        use Progress::{AnswerLost, Answered, CarriedOutLate, InFlight, NotSent};
        let mut cells = Vec::new();
        for progress in [NotSent, InFlight, Answered, AnswerLost, CarriedOutLate] {
            for end in [End::Before, End::After] {
                for next in next_lives() {
                    cells.push(Cell { call, progress, end, agent, next });
                }
            }
        }
        cells.retain(|it| it.left_out_because().is_none());
        cells
    }

    /// Returns why a combination cannot exist or is the same as another one; `None` if it is played.
    fn left_out_because(&self) -> Option<&'static str> {
        let Cell { progress, end, agent, .. } = self;
        match (agent, progress, end) {
            (AgentCourse::RestartedAtEnd, Progress::NotSent, End::After) => {
                Some("a process that has ended sends no call that it had decided on")
            }
            (AgentCourse::RestartedAtEnd, Progress::Answered, End::Before) => {
                Some("no answer reaches a process that has ended: the same as a lost answer")
            }
            _ => None,
        }
    }
}

/// Returns the next lives. Without one, there is neither an announcement nor an identity to vary.
fn next_lives() -> Vec<Option<NextLife>> {
    let mut all = vec![None];
    for starts in [Return::AtOnce, Return::AfterHold] {
        for announcement in [
            FirstAnnouncement::BeforeNextCall,
            FirstAnnouncement::AfterNextCall,
            FirstAnnouncement::Lost,
        ] {
            for identity in [Identity::NewId, Identity::LaterStart] {
                all.push(Some(NextLife { starts, announcement, identity }));
            }
        }
    }
    all
}

impl AgentCourse {
    /// Returns for how long the agent is stopped when the upstream ends.
    pub(super) fn freeze(self) -> Option<Duration> {
        match self {
            AgentCourse::FrozenBriefly => Some(Duration::from_millis(300)),
            AgentCourse::FrozenPastLease => Some(Duration::from_secs(3)),
            _ => None,
        }
    }
}
