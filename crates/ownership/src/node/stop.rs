//! The graceful stop: everything is handed over, the term last.

use std::time::Duration;

use model::Timestamp;

use crate::{Message, Output, ctx::Ctx};

use super::Node;

/// After this long a node closes what it holds by itself.
const HANDOVER_PATIENCE: Duration = Duration::from_secs(8);
/// How long a node waits that holds nothing and has no coordinator to tell so.
const ALONE_FOR: Duration = Duration::from_secs(1);
/// How long the update that gives the term up may take.
const RELEASE_MAX: Duration = Duration::from_secs(2);

/// How far a graceful stop has come.
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
        if waited > HANDOVER_PATIENCE {
            self.member.holdings.close_all(ctx);
        }
        let gave_up = waited > HANDOVER_PATIENCE + ctx.limits().handover_max;
        if self.coordination.is_some() {
            self.stop_coordinating(ctx, gave_up);
            return;
        }
        let empty = self.member.holdings.is_empty();
        let alone = self.known.coordinator.is_none() || !self.member.has_lease();
        if self.member.can_stop || (empty && alone && waited > ALONE_FOR) || gave_up {
            self.stopped(ctx);
        }
    }

    /// The term is given up when this node holds nothing, and all others who leave have left.
    fn stop_coordinating(&mut self, ctx: &mut Ctx<'_>, gave_up: bool) {
        let Some(coordination) = &mut self.coordination else { return };
        let own_part_done =
            self.member.holdings.is_empty() && (self.member.can_stop || !self.member.has_lease());
        let others_done = !coordination.has_other_leaving_member(ctx.own_instance());
        let ready = own_part_done && others_done;
        if !ready && !gave_up {
            return;
        }
        let release_since = *self.stop.release_since.get_or_insert(ctx.now);
        coordination.release_term(ctx);
        if ctx.now.since(release_since) > RELEASE_MAX {
            self.released(ctx);
        }
    }

    /// The term is given up, or there is no time left to wait for that.
    pub(super) fn released(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(coordination) = &self.coordination {
            let term = coordination.term();
            for it in coordination.member_instances().cloned().collect::<Vec<_>>() {
                ctx.send(&it, Message::Released { term });
            }
        }
        self.lose_term(ctx);
        self.stopped(ctx);
    }

    fn stopped(&mut self, ctx: &mut Ctx<'_>) {
        self.member.end_session(ctx, "stopped");
        ctx.out.push(Output::Stopped);
        self.stop.done = true;
    }
}
