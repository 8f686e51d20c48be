//! Graceful stop of a node: hands over all slots first, then releases the term.

use std::time::Duration;

use model::Timestamp;

use crate::{Message, Output, ctx::Ctx};

use super::Node;

/// Time that the coordinator has to hand over the node's slots before the node closes them itself.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that a node without slots and without a coordinator waits before it stops.
const NO_COORDINATOR_WAIT: Duration = Duration::from_secs(1);
/// Time that the update that releases the term may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Progress of a graceful stop.
#[derive(Debug, Default)]
pub(super) struct Stop {
    since: Option<Timestamp>,
    release_since: Option<Timestamp>,
    done: bool,
}

impl Stop {
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.since.get_or_insert(now);
    }

    pub(super) fn is_begun(&self) -> bool {
        self.since.is_some()
    }

    pub(super) fn is_done(&self) -> bool {
        self.done
    }
}

impl Node {
    pub(super) fn tick_stop(&mut self, ctx: &mut Ctx<'_>) {
        let Some(since) = self.stop.since else { return };
        let waited = ctx.now.since(since);
        if waited > HANDOVER_TIMEOUT {
            self.member.holdings.close_all(ctx);
        }
        let timed_out = waited > HANDOVER_TIMEOUT + ctx.limits().handover_max;
        if self.coordination.is_some() {
            self.stop_coordinating(ctx, timed_out);
            return;
        }
        let empty = self.member.holdings.is_empty();
        let no_coordinator = self.known.coordinator.is_none() || !self.member.has_lease();
        if self.member.can_stop
            || (empty && no_coordinator && waited > NO_COORDINATOR_WAIT)
            || timed_out
        {
            self.finish_stop(ctx);
        }
    }

    /// Releases the term once this node holds nothing and all other leaving members have stopped, or on a time-out.
    fn stop_coordinating(&mut self, ctx: &mut Ctx<'_>, timed_out: bool) {
        let Some(coordination) = &mut self.coordination else { return };
        let is_drained =
            self.member.holdings.is_empty() && (self.member.can_stop || !self.member.has_lease());
        let others_stopped = !coordination.has_other_leaving_member(ctx.own_instance());
        let ready = is_drained && others_stopped;
        if !ready && !timed_out {
            return;
        }
        let release_since = *self.stop.release_since.get_or_insert(ctx.now);
        coordination.release_term(ctx);
        // The stop does not wait longer for the acknowledgement of the release.
        if ctx.now.since(release_since) > RELEASE_TIMEOUT {
            self.finish_release(ctx);
        }
    }

    /// Announces the released term to the members. A stop that has released the term is then complete.
    pub(super) fn finish_release(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(coordination) = &self.coordination {
            let term = coordination.term();
            for it in coordination.member_instances().cloned().collect::<Vec<_>>() {
                ctx.send(&it, Message::Released { term });
            }
        }
        self.lose_term(ctx);
        if self.stop.release_since.is_some() {
            self.finish_stop(ctx);
        }
    }

    fn finish_stop(&mut self, ctx: &mut Ctx<'_>) {
        self.member.end_session(ctx, "node stopped");
        ctx.out.push(Output::Stopped);
        self.stop.done = true;
    }
}
