//! The coordinator's own object in the platform, and the one update of it that may be on its way.

use std::time::Duration;

use model::{ObjectVersion, Timestamp};

use crate::{
    CallId, Confirmation, Coordinator, PlatformReply, PlatformRequest,
    ctx::Ctx,
    rules::{self, Rule},
};

use super::ConfirmationPolicy;

const RETRY_AFTER: Duration = Duration::from_millis(100);

/// An update that has not been acknowledged. Until it is, both the object as acknowledged and
/// this one may be in force. It is sent again, unchanged, until that is decided: an
/// acknowledgement or a conflict settles all sendings, however late one of them lands.
#[derive(Debug)]
struct PendingUpdate {
    object: Coordinator,
    call: Option<CallId>,
    /// The platform has refused it: reading will show whether an earlier sending took effect.
    refused: bool,
    sent_at: Timestamp,
    retry_at: Timestamp,
}

/// What has become of the update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The reply was not about this object, or decides nothing.
    Undecided,
    /// It took effect; it had been sent at this time.
    Applied { sent_at: Timestamp },
    /// Somebody else has written the object: the term has ended.
    Deposed,
}

/// `coordinators/S/G` as its holder sees it.
#[derive(Debug)]
pub(crate) struct CoordinatorWriter {
    acked: Coordinator,
    version: ObjectVersion,
    pending: Option<PendingUpdate>,
}

impl CoordinatorWriter {
    pub(crate) fn new(acked: Coordinator, version: ObjectVersion) -> CoordinatorWriter {
        CoordinatorWriter { acked, version, pending: None }
    }

    pub(crate) fn acked(&self) -> &Coordinator {
        &self.acked
    }

    pub(crate) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// By what the coordinator is confirmed while the update is on its way.
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

    /// Starts an update; only one may be on its way.
    pub(crate) fn update(&mut self, ctx: &mut Ctx<'_>, object: Coordinator) {
        assert!(self.pending.is_none(), "a second update of the coordinator's object");
        let object = Coordinator { nonce: ctx.nonce(), era: self.version.era(), ..object };
        self.pending = Some(PendingUpdate {
            object,
            call: None,
            refused: false,
            sent_at: ctx.now,
            retry_at: ctx.now,
        });
        self.tick(ctx);
    }

    /// Sends the update again while it is not decided.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        let expected = self.version;
        let Some(pending) = &mut self.pending else { return };
        if pending.call.is_some() || pending.retry_at > ctx.now {
            return;
        }
        let request = match pending.refused {
            true => PlatformRequest::ReadCoordinator,
            false => {
                pending.sent_at = ctx.now;
                PlatformRequest::UpdateCoordinator { expected, object: pending.object.clone() }
            }
        };
        pending.call = Some(ctx.call_platform(request));
    }

    pub(crate) fn reply(
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
                pending.refused = true;
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
            PlatformReply::Failed | PlatformReply::Plan(..) => {
                pending.retry_at = ctx.now + ctx.jittered(RETRY_AFTER);
                UpdateOutcome::Undecided
            }
        }
    }

    fn apply_update(&mut self, version: ObjectVersion) -> UpdateOutcome {
        let Some(pending) = self.pending.take() else { return UpdateOutcome::Undecided };
        self.acked = pending.object;
        self.version = version;
        UpdateOutcome::Applied { sent_at: pending.sent_at }
    }

    /// The era of the platform in which the term was taken.
    pub(crate) fn era(&self) -> u64 {
        self.version.era()
    }

    /// Whether an object read from the platform is of this term, which nobody else writes.
    pub(crate) fn has_own_term(&self, object: &Coordinator) -> bool {
        object.term == self.acked.term
    }
}
