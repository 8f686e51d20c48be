//! The budget and the rules by which bodies share it.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// A body leaves at least this fraction of its own size free, so that smaller bodies are accepted when larger ones
/// are not.
const LEFT_FREE_DIVISOR: usize = 8;
/// Fraction of the budget that requests leave free for answers: the requests hold their room until they are answered.
const ANSWERS_DIVISOR: usize = 16;
/// Fraction of the budget up to which a body is small.
const SMALL_DIVISOR: usize = 64;
/// Fraction of the budget that small request bodies may take together, so that they don't keep out large ones.
const SMALL_TOTAL_DIVISOR: usize = 4;
/// Time for which requests of medium size are refused after a larger one was, so that room for it becomes free. Longer
/// than the time after which its caller is asked to return.
const TURN: Duration = Duration::from_secs(2);
/// Time after a turn in which no other turn begins, so that requests of medium size get room too.
const TURN_PAUSE: Duration = Duration::from_secs(2);
/// Time without a refusal after which the next one is logged.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// What a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// A request that has not run.
    Request,
    /// An answer, or other bytes whose loss cannot be repaired by sending them again.
    Answer,
}

/// A body does not fit into what is left of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no room for a body of {bytes} bytes")]
pub struct BudgetExceeded {
    pub bytes: usize,
    /// Whether the body would not fit either if the process held no other.
    pub is_permanent: bool,
}

/// The state of a budget, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    pub bytes_max: usize,
    pub bytes_held: usize,
    /// Largest number of bytes that were held at a time.
    pub bytes_held_max: usize,
    /// Number of refused request bodies.
    pub refused_requests: u64,
    /// Number of answer bodies that had to wait for room or got none.
    pub delayed_answers: u64,
}

/// The budget of a process for bodies. Clones share it.
#[derive(Clone)]
pub struct BodyBudget(Arc<Shared>);

struct Shared {
    bytes_max: usize,
    state: Mutex<State>,
    /// Notified when room becomes free.
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    usage: BudgetUsage,
    /// Bytes of small request bodies.
    small_bytes: usize,
    turn: Option<Turn>,
    /// When a turn may begin.
    next_turn_at: Option<Instant>,
    last_refused_at: Option<Instant>,
}

/// Precedence of a refused large body over smaller ones that are not small.
#[derive(Debug, Clone, Copy)]
struct Turn {
    bytes: usize,
    until: Instant,
}

/// Room for a body, which is free again when this is dropped.
pub struct Reservation {
    budget: BodyBudget,
    kind: BodyKind,
    bytes: usize,
    /// Whether the bytes count as those of a small request body.
    is_small: bool,
}

impl BodyBudget {
    /// Creates a budget of `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> BodyBudget {
        let usage = BudgetUsage { bytes_max, ..BudgetUsage::default() };
        let state = Mutex::new(State { usage, ..State::default() });
        BodyBudget(Arc::new(Shared { bytes_max, state, freed: Notify::new() }))
    }

    /// Creates a budget that accepts every body.
    pub fn unlimited() -> BodyBudget {
        BodyBudget::new(usize::MAX)
    }

    pub fn usage(&self) -> BudgetUsage {
        self.state().usage
    }

    /// Returns a reservation of no bytes, which can be grown.
    pub fn empty(&self, kind: BodyKind) -> Reservation {
        Reservation { budget: self.clone(), kind, bytes: 0, is_small: false }
    }

    /// Reserves room for a body of `bytes` bytes.
    pub fn reserve(&self, kind: BodyKind, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        let mut reservation = self.empty(kind);
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// Counts bytes that are in memory already and are not given up, also beyond the budget.
    pub fn hold(&self, kind: BodyKind, bytes: usize) -> Reservation {
        self.state().add(bytes);
        Reservation { budget: self.clone(), kind, bytes, is_small: false }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a body that grows from `from` to `to` bytes fits beside `held` bytes.
    fn fits(&self, kind: BodyKind, from: usize, to: usize, held: usize) -> bool {
        let left_for_answers = match kind {
            BodyKind::Request => self.0.bytes_max / ANSWERS_DIVISOR,
            BodyKind::Answer => 0,
        };
        let left_free = (to / LEFT_FREE_DIVISOR).saturating_add(left_for_answers);
        let held_then = held.saturating_add(to - from);
        held_then.saturating_add(left_free) <= self.0.bytes_max
    }

    fn try_grow(&self, reservation: &mut Reservation, bytes: usize) -> Result<(), BudgetExceeded> {
        let kind = reservation.kind;
        let from = reservation.bytes;
        let to = from.saturating_add(bytes);
        let mut state = self.state();
        let now = Instant::now();
        let is_small = kind == BodyKind::Request && to <= self.0.bytes_max / SMALL_DIVISOR;
        let has_room = self.fits(kind, from, to, state.usage.bytes_held)
            && match kind {
                BodyKind::Answer => true,
                BodyKind::Request if is_small => {
                    state.small_bytes + bytes <= self.0.bytes_max / SMALL_TOTAL_DIVISOR
                }
                // A body that is received in steps has its first ones already and is not held up.
                BodyKind::Request => from > 0 || state.has_turn(now, to),
            };
        if !has_room {
            let is_permanent = !self.fits(kind, 0, to, 0);
            return Err(BudgetExceeded { bytes: to, is_permanent });
        }
        if state.turn.is_some_and(|it| to >= it.bytes && kind == BodyKind::Request) {
            state.end_turn(now);
        }
        if reservation.is_small {
            state.small_bytes -= from;
        }
        if is_small {
            state.small_bytes += to;
        }
        reservation.is_small = is_small;
        reservation.bytes = to;
        state.add(bytes);
        Ok(())
    }

    /// Counts and logs that a body does not fit.
    fn record_refusal(&self, kind: BodyKind, exceeded: BudgetExceeded) {
        let mut state = self.state();
        let now = Instant::now();
        match kind {
            BodyKind::Request => {
                state.usage.refused_requests += 1;
                if !exceeded.is_permanent {
                    state.begin_turn(now, exceeded.bytes);
                }
            }
            BodyKind::Answer => state.usage.delayed_answers += 1,
        }
        let is_first = state.last_refused_at.is_none_or(|it| now - it >= LOG_PAUSE);
        state.last_refused_at = Some(now);
        let BudgetUsage { bytes_held, bytes_max, .. } = state.usage;
        drop(state);
        let BudgetExceeded { bytes, is_permanent } = exceeded;
        let action = match (kind, is_permanent) {
            (BodyKind::Request, false) => "refusing such requests as not run",
            (BodyKind::Request, true) => {
                "refusing it as not run; it would not fit into an idle process either"
            }
            (BodyKind::Answer, _) => "reading answers only as room becomes free",
        };
        if is_first {
            log::warn!(target: "bodies", "The bodies in memory have {bytes_held} of {bytes_max} bytes, which leaves no room for one of {bytes} bytes; {action}. Further ones are logged after {LOG_PAUSE:?} without any.");
        }
    }
}

impl State {
    fn add(&mut self, bytes: usize) {
        self.usage.bytes_held += bytes;
        self.usage.bytes_held_max = self.usage.bytes_held_max.max(self.usage.bytes_held);
    }

    /// Returns whether no larger body has precedence.
    fn has_turn(&mut self, now: Instant, bytes: usize) -> bool {
        match self.turn {
            Some(turn) if turn.until <= now => {
                self.end_turn(turn.until);
                true
            }
            Some(turn) => bytes >= turn.bytes,
            None => true,
        }
    }

    /// Gives a refused body precedence, unless another one has or had it just before.
    fn begin_turn(&mut self, now: Instant, bytes: usize) {
        if self.turn.is_none() && self.next_turn_at.is_none_or(|it| it <= now) {
            self.turn = Some(Turn { bytes, until: now + TURN });
        }
    }

    fn end_turn(&mut self, at: Instant) {
        self.turn = None;
        self.next_turn_at = Some(at + TURN_PAUSE);
    }
}

impl Reservation {
    /// Reserves room for `bytes` further bytes. The room reserved before stays reserved if there is none.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let budget = self.budget.clone();
        let result = budget.try_grow(self, bytes);
        if let Err(exceeded) = result {
            budget.record_refusal(self.kind, exceeded);
        }
        result
    }

    /// Waits for room for `bytes` further bytes. Fails only if the body would never fit.
    pub async fn grow_later(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let budget = self.budget.clone();
        let mut is_recorded = false;
        loop {
            let freed = budget.0.freed.notified();
            let Err(exceeded) = budget.try_grow(self, bytes) else { return Ok(()) };
            if !std::mem::replace(&mut is_recorded, true) {
                budget.record_refusal(self.kind, exceeded);
            }
            if exceeded.is_permanent {
                return Err(exceeded);
            }
            freed.await;
        }
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.usage.bytes_held -= self.bytes;
        if self.is_small {
            state.small_bytes -= self.bytes;
        }
        drop(state);
        self.budget.0.freed.notify_waiters();
    }
}

impl Default for BodyBudget {
    fn default() -> BodyBudget {
        BodyBudget::unlimited()
    }
}

impl fmt::Debug for BodyBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyBudget").field("usage", &self.usage()).finish()
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}
