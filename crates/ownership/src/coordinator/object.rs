//! The coordinator's object in the platform, and the update of it in flight.

use std::time::Duration;

use model::{ObjectVersion, Timestamp};

use crate::{
    CallId, Confirmation, Coordinator, PlatformReply, PlatformRequest,
    ctx::Ctx,
    rules::{self, Rule},
};

use super::ConfirmationPolicy;

/// The longest delay before a failed call is repeated; jitter shortens it by up to a half.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(100);

/// An update that has not been acknowledged. Until it is, either the acknowledged object or this
/// one may be in force. It is sent again, unchanged, until the outcome is known: an acknowledgement
/// or a conflict decides for all sendings, however late one of them arrives.
#[derive(Debug)]
struct PendingUpdate {
    object: Coordinator,
    call: Option<CallId>,
    /// Whether a sending met a conflict, so that only a read can show whether an earlier one took
    /// effect.
    is_refused: bool,
    /// When it was first sent.
    begun_at: Timestamp,
    /// When it was last sent.
    sent_at: Timestamp,
    retry_at: Timestamp,
}

/// The outcome of an update, after a reply of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The reply was not about this object, or the outcome is still unknown.
    Undecided,
    /// The update took effect; it was last sent at `sent_at`.
    Applied { sent_at: Timestamp },
    /// Another node has written the object, so the term has ended.
    Deposed,
}

/// Writes the object `coordinators/S/G` for the node that holds the term.
#[derive(Debug)]
pub(crate) struct CoordinatorWriter {
    /// The last state that the platform has acknowledged.
    acked: Coordinator,
    version: ObjectVersion,
    pending: Option<PendingUpdate>,
}

impl CoordinatorWriter {
    pub(crate) fn new(acked: Coordinator, version: ObjectVersion) -> CoordinatorWriter {
        CoordinatorWriter { acked, version, pending: None }
    }

    /// Returns the last state that the platform has acknowledged.
    pub(crate) fn acked(&self) -> &Coordinator {
        &self.acked
    }

    /// Returns whether an update is in flight or in doubt.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the state with the only witnesses with which a following term can have begun, and since when that state may
    /// be in force if it is not acknowledged. Returns `None` if the witnesses are not known, or if a state that may be in
    /// force has other times.
    pub(crate) fn state_with_witnesses(
        &self,
        times: crate::TermTimes,
    ) -> Option<(&Coordinator, Option<Timestamp>)> {
        let acked = (&self.acked, None);
        let pending = self.pending.as_ref().map(|it| (&it.object, Some(it.begun_at)));
        let states = [Some(acked), pending].into_iter().flatten();
        if self.acked.confirmation != Confirmation::Platform
            || !states.clone().all(|it| it.0.times == times)
        {
            return None;
        }
        states.last()
    }

    /// Returns whether a term that follows this one begins with the acknowledged witnesses, or with the platform.
    pub(crate) fn has_acked_witnesses(&self) -> bool {
        let is_same = |it: &Coordinator| {
            (it.confirmation, &it.witnesses) == (self.acked.confirmation, &self.acked.witnesses)
        };
        self.pending.as_ref().is_none_or(|it| is_same(&it.object))
    }

    /// Returns the conditions that confirm the term whether or not a pending update has taken
    /// effect.
    pub(crate) fn confirmation_policy(&self, times: crate::TermTimes) -> ConfirmationPolicy<'_> {
        let mut method = Some(self.acked.confirmation);
        let mut witness_sets = vec![self.acked.witnesses.as_slice()];
        if let Some(pending) = &self.pending {
            if pending.object.confirmation != self.acked.confirmation {
                method = None;
            }
            if pending.object.witnesses != self.acked.witnesses {
                witness_sets.push(pending.object.witnesses.as_slice());
            }
        }
        if method == Some(Confirmation::Platform) {
            witness_sets.clear();
        }
        ConfirmationPolicy { method, witness_sets, times }
    }

    /// Starts an update. Only one may be pending at a time.
    pub(crate) fn update(&mut self, ctx: &mut Ctx<'_>, object: Coordinator) {
        assert!(
            self.pending.is_none(),
            "the coordinator's object is updated while an update is pending"
        );
        let object = Coordinator { nonce: ctx.draw_nonce(), era: self.version.era(), ..object };
        self.pending = Some(PendingUpdate {
            object,
            call: None,
            is_refused: false,
            begun_at: ctx.now,
            sent_at: ctx.now,
            retry_at: ctx.now,
        });
        self.tick(ctx);
    }

    /// Sends the pending update, or the read that decides it, when it is due.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        let expected = self.version;
        let Some(pending) = &mut self.pending else { return };
        if pending.call.is_some() || pending.retry_at > ctx.now {
            return;
        }
        let request = match pending.is_refused {
            true => PlatformRequest::ReadCoordinator,
            false => {
                pending.sent_at = ctx.now;
                PlatformRequest::UpdateCoordinator { expected, object: pending.object.clone() }
            }
        };
        pending.call = Some(ctx.call_platform(request));
    }

    /// Handles a reply of the platform to the pending update or read.
    pub(crate) fn handle_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
    ) -> UpdateOutcome {
        let Some(pending) = self.pending.as_mut().filter(|it| it.call == Some(call)) else {
            return UpdateOutcome::Undecided;
        };
        pending.call = None;
        match reply {
            PlatformReply::Updated(version) => self.apply_update(*version),
            PlatformReply::Conflict => {
                pending.is_refused = true;
                pending.retry_at = ctx.now;
                self.tick(ctx);
                UpdateOutcome::Undecided
            }
            PlatformReply::Coordinator(version, Some(object)) => {
                if object.nonce == pending.object.nonce && !object.is_rolled_back(*version) {
                    self.apply_update(*version)
                } else {
                    UpdateOutcome::Deposed
                }
            }
            PlatformReply::Coordinator(_, None) => UpdateOutcome::Deposed,
            PlatformReply::Failed if !rules::is_enforced(Rule::AssumeUnansweredUpdateApplied) => {
                self.pending = None;
                UpdateOutcome::Undecided
            }
            PlatformReply::Failed | PlatformReply::Plan(..) | PlatformReply::RoundDrawn(_) => {
                pending.retry_at = ctx.now + ctx.jittered(RETRY_DELAY_MAX);
                UpdateOutcome::Undecided
            }
        }
    }

    /// Marks the pending update as acknowledged, with this version of the object.
    fn apply_update(&mut self, version: ObjectVersion) -> UpdateOutcome {
        let Some(pending) = self.pending.take() else { return UpdateOutcome::Undecided };
        self.acked = pending.object;
        self.version = version;
        UpdateOutcome::Applied { sent_at: pending.sent_at }
    }

    /// Returns the era of the platform in which the object was last written.
    pub(crate) fn era(&self) -> u64 {
        self.version.era()
    }

    /// Returns whether an object read from the platform is of this term, which no other node
    /// writes.
    pub(crate) fn has_own_term(&self, object: &Coordinator) -> bool {
        object.term == self.acked.term
    }
}
