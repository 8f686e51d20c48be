//! The room that all accepted connections of a process share, and which of them give way when there is none left.
//!
//! A connection gives way only while no request of it is worked on: first those that have not sent a complete one since
//! they were opened, then those that wait for their next one, then those that do not take their answer; among each, the
//! one that has waited longest. The listener with the most such connections gives way before the others, so that a crowd
//! at one does not evict the clients of another.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// Room that each connection takes: the buffers of the server and the sockets, and the state of its task.
pub(crate) const CONNECTION_BYTES: usize = 32 << 10;
/// Number of buffered bytes for which the room of a connection suffices.
pub(crate) const INCLUDED_BYTES: usize = 8 << 10;
/// Room for each further byte: it is held in the connection's buffer, in that of the server and in the parsed head.
const ROOM_PER_BYTE: usize = 3;
/// Divisor of the number of connections that yields those that are kept for each listener, so that requests at one
/// cannot keep the clients of another out.
const KEPT_DIVISOR: usize = 32;
/// Time without an evicted or refused connection after which the next one is logged.
const LOG_PAUSE: Duration = Duration::from_secs(10);

/// The listeners that strangers can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Callers,
    Announcements,
    Readiness,
    Metrics,
    /// Links from other agents, until they have proved the link key.
    ControlLinks,
    TrafficLinks,
}

const LISTENER_KINDS: usize = 6;

/// Limits of a process on all accepted connections together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    pub(crate) connections_max: usize,
    pub(crate) bytes_max: usize,
}

impl ConnectionLimits {
    /// Returns the number of connections that are kept for each listener.
    fn kept(&self) -> usize {
        self.connections_max.min(self.bytes_max / CONNECTION_BYTES) / KEPT_DIVISOR
    }
}

/// The state of a budget, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ConnectionUsage {
    pub(crate) connections: usize,
    pub(crate) bytes: usize,
    /// Number of connections that were closed because others needed their room.
    pub(crate) evicted: u64,
    /// Number of connections and heads that were refused because no other connection could give way.
    pub(crate) refused: u64,
}

/// What a connection does, which decides whether it gives way to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Has not sent a complete request since it was opened, or has sent a part of the next one.
    Incomplete,
    /// Waits for the next request; all earlier ones are answered.
    Idle,
    /// Does not take the answer that it is being sent, whatever else it has sent.
    Unread,
    /// Has a complete request that is not answered yet, and does not give way.
    Busy,
}

/// The budget of a process for accepted connections. Clones share it.
#[derive(Clone)]
pub(crate) struct ConnectionBudget(Arc<Shared>);

struct Shared {
    limits: ConnectionLimits,
    state: Mutex<State>,
    /// Notified when a connection has ended, or does not give way after all.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    usage: ConnectionUsage,
    next_id: u64,
    next_order: u64,
    entries: HashMap<u64, Entry>,
    /// Number of connections of each listener.
    open: [usize; LISTENER_KINDS],
    /// Connections that can give way, by listener, in this order.
    evictable: [BTreeMap<(Phase, u64), u64>; LISTENER_KINDS],
    /// Number and room of the connections that were told to close and have not ended.
    closing_connections: usize,
    closing_bytes: usize,
    last_logged_at: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    listener: ListenerKind,
    phase: Phase,
    /// Increases with each connection that begins to wait.
    order: u64,
    bytes: usize,
    is_closing: bool,
    told_to_close: Arc<Notify>,
}

/// The room of one connection, which is free again when this is dropped.
pub(crate) struct ConnectionPermit {
    budget: ConnectionBudget,
    id: u64,
    told_to_close: Arc<Notify>,
    /// Number of buffered bytes for which there is room.
    buffered_bytes_max: usize,
}

enum Admission {
    Admitted(ConnectionPermit),
    /// Another connection was told to close.
    Later,
    Refused,
}

impl ConnectionBudget {
    pub(crate) fn new(limits: ConnectionLimits) -> ConnectionBudget {
        let (state, changed) = (Mutex::default(), Notify::new());
        ConnectionBudget(Arc::new(Shared { limits, state, changed }))
    }

    /// Creates a budget that admits every connection.
    #[cfg(test)]
    pub(crate) fn unlimited() -> ConnectionBudget {
        let (connections_max, bytes_max) = (usize::MAX, usize::MAX);
        ConnectionBudget::new(ConnectionLimits { connections_max, bytes_max })
    }

    pub(crate) fn usage(&self) -> ConnectionUsage {
        self.state().usage
    }

    /// Returns the room for a new connection, once others have closed if there was none. Returns `None` if no other
    /// connection can give way.
    pub(crate) async fn admit(&self, listener: ListenerKind) -> Option<ConnectionPermit> {
        loop {
            // Created before the state is read, so that no change is missed.
            let changed = self.0.changed.notified();
            match self.try_admit(listener) {
                Admission::Admitted(permit) => return Some(permit),
                Admission::Later => changed.await,
                Admission::Refused => return None,
            }
        }
    }

    fn try_admit(&self, listener: ListenerKind) -> Admission {
        let limits = &self.0.limits;
        let mut state = self.state();
        let ConnectionUsage { connections, bytes, .. } = state.usage;
        let kept = state.kept_for_others(listener, limits);
        let fits = |connections: usize, bytes: usize| {
            connections + kept < limits.connections_max
                && bytes + (kept + 1) * CONNECTION_BYTES <= limits.bytes_max
        };
        if fits(connections, bytes) {
            return Admission::Admitted(self.add(&mut state, listener));
        }
        let is_enough_closing =
            fits(connections - state.closing_connections, bytes - state.closing_bytes);
        match is_enough_closing || state.evict_one(listener, None, limits) {
            true => Admission::Later,
            false => {
                state.record_refusal();
                Admission::Refused
            }
        }
    }

    fn add(&self, state: &mut State, listener: ListenerKind) -> ConnectionPermit {
        let id = state.next_id;
        state.next_id += 1;
        state.usage.connections += 1;
        state.usage.bytes += CONNECTION_BYTES;
        state.open[listener as usize] += 1;
        let told_to_close: Arc<Notify> = Arc::default();
        let entry = Entry {
            listener,
            phase: Phase::Busy,
            order: 0,
            bytes: CONNECTION_BYTES,
            is_closing: false,
            told_to_close: Arc::clone(&told_to_close),
        };
        state.entries.insert(id, entry);
        state.set_phase(id, Phase::Incomplete);
        ConnectionPermit {
            budget: self.clone(),
            id,
            told_to_close,
            buffered_bytes_max: INCLUDED_BYTES,
        }
    }

    fn is_evicted(&self, id: u64) -> bool {
        self.state().entries.get(&id).is_some_and(|it| it.is_closing)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns whether the connection was told to close, which it is no longer.
    fn set_phase(&mut self, id: u64, phase: Phase) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let evictable = &mut self.evictable[entry.listener as usize];
        evictable.remove(&(entry.phase, entry.order));
        let was_closing = std::mem::take(&mut entry.is_closing);
        if was_closing {
            self.closing_connections -= 1;
            self.closing_bytes -= entry.bytes;
        }
        entry.phase = phase;
        if phase != Phase::Busy {
            entry.order = self.next_order;
            self.next_order += 1;
            evictable.insert((phase, entry.order), id);
        }
        was_closing
    }

    /// Returns how many connections are still kept for the listeners other than `listener`.
    fn kept_for_others(&self, listener: ListenerKind, limits: &ConnectionLimits) -> usize {
        let open = self.open.iter().enumerate();
        let others = open.filter(|(index, _)| *index != listener as usize);
        others.map(|(_, open)| limits.kept().saturating_sub(*open)).sum()
    }

    /// Returns whether a connection can take more room, once those have ended that were told to close.
    fn has_room_for(&self, id: u64, more: usize, limits: &ConnectionLimits) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        let kept = self.kept_for_others(entry.listener, limits) * CONNECTION_BYTES;
        self.usage.bytes - self.closing_bytes + more + kept <= limits.bytes_max
    }

    fn add_bytes(&mut self, id: u64, more: usize) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.bytes += more;
        self.usage.bytes += more;
        if entry.is_closing {
            self.closing_bytes += more;
        }
    }

    /// Tells one connection to close, other than `except`, in favour of one of `listener`. Returns false if none can give
    /// way.
    fn evict_one(
        &mut self,
        listener: ListenerKind,
        except: Option<u64>,
        limits: &ConnectionLimits,
    ) -> bool {
        let exception = except.and_then(|id| self.entries.get(&id));
        let exception = exception.filter(|it| it.phase != Phase::Busy && !it.is_closing);
        let exception = exception.map(|it| it.listener as usize);
        // The others' connections that are kept for them leave no room when they close.
        let has_more =
            |index: usize| index == listener as usize || self.open[index] > limits.kept();
        let candidates = self.evictable.iter().enumerate().filter(|it| has_more(it.0));
        let count = |(index, it): &(usize, &BTreeMap<_, _>)| {
            it.len() - usize::from(exception == Some(*index))
        };
        let most = candidates.max_by_key(count).map(|(_, it)| it);
        let others = most.into_iter().flatten().find(|(_, id)| Some(**id) != except);
        let Some((&key, &id)) = others else { return false };
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        self.evictable[entry.listener as usize].remove(&key);
        entry.is_closing = true;
        entry.told_to_close.notify_one();
        self.closing_connections += 1;
        self.closing_bytes += entry.bytes;
        self.usage.evicted += 1;
        let listener = entry.listener;
        let ConnectionUsage { connections, bytes, .. } = self.usage;
        self.log(format_args!("Closing the connection at the listener {listener:?} that has waited longest, to make room for others; {connections} connections take {bytes} bytes"));
        true
    }

    fn record_refusal(&mut self) {
        self.usage.refused += 1;
        let ConnectionUsage { connections, bytes, .. } = self.usage;
        self.log(format_args!("Refusing a connection, since {connections} others take {bytes} bytes and none of them can be closed"));
    }

    fn log(&mut self, event: fmt::Arguments<'_>) {
        let now = Instant::now();
        let is_first = self.last_logged_at.is_none_or(|it| now - it >= LOG_PAUSE);
        self.last_logged_at = Some(now);
        if is_first {
            log::warn!(target: "connections", "{event}. Further ones are logged after {LOG_PAUSE:?} without any.");
        }
    }
}

impl ConnectionPermit {
    /// Sets what the connection does. It begins to wait again with each call.
    pub(crate) fn set_phase(&self, phase: Phase) {
        let was_closing = self.budget.state().set_phase(self.id, phase);
        if was_closing {
            // Another one has to give way in its place.
            self.budget.0.changed.notify_waiters();
        }
    }

    /// Reserves room for this many buffered bytes, at the expense of others that can give way. The room stays reserved
    /// while the connection is open, since the server keeps its buffers. Returns false if there is none.
    pub(crate) fn reserve(&mut self, buffered_bytes: usize) -> bool {
        let more = self.missing(buffered_bytes);
        if more == 0 {
            return true;
        }
        let limits = &self.budget.0.limits;
        let mut state = self.budget.state();
        let Some(listener) = state.entries.get(&self.id).map(|it| it.listener) else {
            return false;
        };
        while !state.has_room_for(self.id, more, limits) {
            if !state.evict_one(listener, Some(self.id), limits) {
                state.record_refusal();
                return false;
            }
        }
        state.add_bytes(self.id, more);
        drop(state);
        self.buffered_bytes_max = buffered_bytes;
        true
    }

    /// Reserves room for this many buffered bytes if it is free. Returns false if it is not.
    pub(crate) fn try_reserve(&mut self, buffered_bytes: usize) -> bool {
        let more = self.missing(buffered_bytes);
        let limits = &self.budget.0.limits;
        let mut state = self.budget.state();
        let has_room = more == 0 || state.has_room_for(self.id, more, limits);
        if has_room {
            state.add_bytes(self.id, more);
            drop(state);
            self.buffered_bytes_max = self.buffered_bytes_max.max(buffered_bytes);
        }
        has_room
    }

    /// Returns the room that is missing for this many buffered bytes.
    fn missing(&self, buffered_bytes: usize) -> usize {
        buffered_bytes.saturating_sub(self.buffered_bytes_max) * ROOM_PER_BYTE
    }

    /// Resolves when the connection has to make room for others.
    pub(crate) fn eviction(&self) -> impl Future<Output = ()> + Send + 'static {
        let (budget, id) = (self.budget.clone(), self.id);
        let told_to_close = Arc::clone(&self.told_to_close);
        async move {
            while !budget.is_evicted(id) {
                told_to_close.notified().await;
            }
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        // Removes it from those that can give way, and from those that are closing.
        state.set_phase(self.id, Phase::Busy);
        if let Some(entry) = state.entries.remove(&self.id) {
            state.usage.connections -= 1;
            state.usage.bytes -= entry.bytes;
            state.open[entry.listener as usize] -= 1;
        }
        drop(state);
        self.budget.0.changed.notify_waiters();
    }
}

impl fmt::Debug for ConnectionBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionBudget").field("usage", &self.usage()).finish()
    }
}
