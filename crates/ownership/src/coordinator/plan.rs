//! The plan in the platform, the candidates that it lists, and the update of it in flight.

use std::time::Duration;

use model::{Instance, KeyHash, ObjectVersion, Slot, SlotCount, Term, Timestamp};

use crate::{
    CallId, Plan, PlatformReply, PlatformRequest,
    ctx::{Ctx, MemberId},
};

/// The longest delay before a failed call is repeated; jitter shortens it by up to a half.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(100);
/// The interval of reads while the stored plan has another number of slots. Such a plan is not
/// replaced.
const SLOT_COUNT_MISMATCH_RETRY: Duration = Duration::from_secs(1);

/// The read or write that is in progress.
#[derive(Debug)]
enum Step {
    /// Reads the stored plan.
    Read,
    /// Replaces the known version of the plan by this plan.
    Write(Box<Plan>),
}

/// A plan with the member ids of its candidates, by slot and key.
#[derive(Debug)]
struct IndexedPlan {
    plan: Plan,
    /// The ids of `plan.members`, in the same order.
    ids: Vec<MemberId>,
}

impl IndexedPlan {
    fn new(plan: Plan) -> IndexedPlan {
        let ids = plan.members.iter().map(MemberId::from).collect();
        IndexedPlan { plan, ids }
    }

    /// Returns the ids of the candidates for a slot.
    fn slot_ids(&self, slot: Slot) -> impl Iterator<Item = &MemberId> {
        self.slot_indexes(slot).filter_map(|it| self.ids.get(it))
    }

    /// Returns the candidates for a slot with their addresses.
    fn slot_candidate_instances(&self, slot: Slot) -> impl Iterator<Item = &Instance> {
        self.slot_indexes(slot).filter_map(|it| self.plan.members.get(it))
    }

    /// Returns the ids of the candidates for a hot key.
    fn key_ids(&self, key_hash: KeyHash) -> impl Iterator<Item = &MemberId> {
        self.key_indexes(key_hash).filter_map(|it| self.ids.get(it))
    }

    /// Returns the candidates for a hot key with their addresses.
    fn key_candidate_instances(&self, key_hash: KeyHash) -> impl Iterator<Item = &Instance> {
        self.key_indexes(key_hash).filter_map(|it| self.plan.members.get(it))
    }

    /// Returns the indexes of the candidates for a slot in `plan.members`.
    fn slot_indexes(&self, slot: Slot) -> impl Iterator<Item = usize> {
        let entry = self.plan.slots.get(usize::from(slot.0));
        entry.into_iter().flat_map(|it| indexes(it.owner, &it.successors))
    }

    /// Returns the indexes of the candidates for a hot key in `plan.members`.
    fn key_indexes(&self, key_hash: KeyHash) -> impl Iterator<Item = usize> {
        let entry = self.plan.hot_keys.iter().find(|it| it.key_hash == key_hash);
        entry.into_iter().flat_map(|it| indexes(it.owner, &it.successors))
    }
}

/// Returns the indexes of the candidates of an entry: the owner first, then its successors.
fn indexes(owner: Option<u16>, successors: &[u16]) -> impl Iterator<Item = usize> {
    owner.into_iter().chain(successors.iter().copied()).map(usize::from)
}

/// The outcome of a read or write of the plan, after a reply of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlanOutcome {
    /// The reply belongs to another call.
    NotOwnCall,
    /// The outcome is still unknown.
    Pending,
    /// The plan of this version has been acknowledged.
    Acknowledged(u64),
    /// Another term has replaced a plan of this term.
    Deposed,
    /// The stored plan is of this term, which is higher than the coordinator's.
    HigherTermFound(Term),
}

/// Reads and writes the plan `plans/S/G` for the coordinator. Only plans that this term has written
/// allow grants: its first write also makes pending writes of earlier terms fail.
#[derive(Debug)]
pub(crate) struct PlanWriter {
    term: Term,
    slot_count: SlotCount,
    version: ObjectVersion,
    /// The newest plan of this term that the platform has acknowledged.
    acked: Option<IndexedPlan>,
    /// The plan of a write whose outcome is unknown.
    in_doubt: Option<IndexedPlan>,
    step: Option<Step>,
    call: Option<CallId>,
    retry_at: Timestamp,
    /// The last plan of this node's previous term. It takes precedence over a stored plan that was
    /// rolled back.
    carried: Option<Plan>,
    /// Whether the first plan of this term continues a rolled back one, so that newer plans may
    /// have been lost.
    is_history_lost: bool,
}

impl PlanWriter {
    pub(crate) fn new(
        now: Timestamp,
        term: Term,
        slot_count: SlotCount,
        carried: Option<Plan>,
    ) -> PlanWriter {
        PlanWriter {
            term,
            slot_count,
            version: ObjectVersion(0),
            acked: None,
            in_doubt: None,
            step: Some(Step::Read),
            call: None,
            retry_at: now,
            carried,
            is_history_lost: false,
        }
    }

    /// Returns the newest acknowledged plan of this term, or `None` while nothing may be granted.
    pub(crate) fn acked(&self) -> Option<&Plan> {
        self.acked.as_ref().map(|it| &it.plan)
    }

    /// Returns whether plans newer than the one that this term continues may have been lost.
    pub(crate) fn is_history_lost(&self) -> bool {
        self.is_history_lost
    }

    /// Returns whether no read or write is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.step.is_none()
    }

    /// Returns the candidates for a slot in the acknowledged plan: the owner first, then its
    /// successors.
    pub(crate) fn slot_candidates(&self, slot: Slot) -> impl Iterator<Item = &MemberId> {
        self.acked.iter().flat_map(move |it| it.slot_ids(slot))
    }

    /// Returns the candidates for a slot in the acknowledged plan as instances, with their
    /// addresses.
    pub(crate) fn slot_candidate_instances(&self, slot: Slot) -> impl Iterator<Item = &Instance> {
        self.acked.iter().flat_map(move |it| it.slot_candidate_instances(slot))
    }

    /// Returns the candidates for a hot key in the acknowledged plan as instances, with their
    /// addresses.
    pub(crate) fn key_candidate_instances(
        &self,
        key_hash: KeyHash,
    ) -> impl Iterator<Item = &Instance> {
        self.acked.iter().flat_map(move |it| it.key_candidate_instances(key_hash))
    }

    /// Returns the candidates for a hot key in the acknowledged plan.
    pub(crate) fn key_candidates(&self, key_hash: KeyHash) -> impl Iterator<Item = &MemberId> {
        self.acked.iter().flat_map(move |it| it.key_ids(key_hash))
    }

    /// Returns whether each plan that may be in force lists the member as a candidate for the slot.
    pub(crate) fn lists_for_slot(&self, slot: Slot, member: &MemberId) -> bool {
        let lists = |it: &IndexedPlan| it.slot_ids(slot).any(|it| it == member);
        self.acked.as_ref().is_some_and(lists) && self.in_doubt.as_ref().is_none_or(lists)
    }

    /// Returns whether each plan that may be in force lists the member as a candidate for the hot
    /// key.
    pub(crate) fn lists_for_key(&self, key_hash: KeyHash, member: &MemberId) -> bool {
        let lists = |it: &IndexedPlan| it.key_ids(key_hash).any(|it| it == member);
        self.acked.as_ref().is_some_and(lists) && self.in_doubt.as_ref().is_none_or(lists)
    }

    /// Returns the planned owner of each slot that has one, with repetitions.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &Instance> {
        let plan = self.acked();
        let owners = plan.into_iter().flat_map(|it| it.slots.iter().filter_map(|it| it.owner));
        owners.filter_map(move |it| plan?.members.get(usize::from(it)))
    }

    /// Returns the planned owner of a slot.
    pub(crate) fn planned_owner(&self, slot: Slot) -> Option<&MemberId> {
        let acked = self.acked.as_ref()?;
        let owner = acked.plan.slots.get(usize::from(slot.0))?.owner?;
        acked.ids.get(usize::from(owner))
    }

    /// Returns the planned owner of a hot key, or `None` if the key is to be served with its slot.
    pub(crate) fn planned_key_owner(&self, key_hash: KeyHash) -> Option<&MemberId> {
        let acked = self.acked.as_ref()?;
        let owner = acked.plan.hot_keys.iter().find(|it| it.key_hash == key_hash)?.owner?;
        acked.ids.get(usize::from(owner))
    }

    /// Starts to write a plan, in the current era of the platform. Only one read or write may be in
    /// progress.
    pub(crate) fn write(&mut self, ctx: &mut Ctx<'_>, plan: Plan) {
        assert!(self.step.is_none(), "a plan is written while a read or write is in progress");
        let acked_version = self.acked.as_ref().map_or(0, |it| it.plan.version);
        assert!(
            plan.version > acked_version,
            "plan version {} written after {acked_version}",
            plan.version
        );
        let plan = Plan { era: self.version.era(), ..plan };
        self.step = Some(Step::Write(Box::new(plan)));
        self.retry_at = ctx.now;
        self.tick(ctx);
    }

    /// Sends the read or write when it is due, and repeats it after a failure.
    pub(crate) fn tick(&mut self, ctx: &mut Ctx<'_>) {
        if self.call.is_some() || self.retry_at > ctx.now {
            return;
        }
        let request = match &self.step {
            None => return,
            Some(Step::Read) => PlatformRequest::ReadPlan,
            Some(Step::Write(plan)) => {
                self.in_doubt = Some(IndexedPlan::new(plan.as_ref().clone()));
                PlatformRequest::UpdatePlan { expected: self.version, object: plan.clone() }
            }
        };
        self.call = Some(ctx.call_platform(request));
    }

    /// Handles a reply of the platform. `first_plan` makes the first plan of this term from the
    /// plan that it continues, if there is one.
    pub(crate) fn handle_reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
        first_plan: impl FnOnce(&mut Ctx<'_>, Option<&Plan>) -> Plan,
    ) -> PlanOutcome {
        if self.call != Some(call) {
            return PlanOutcome::NotOwnCall;
        }
        self.call = None;
        match reply {
            PlatformReply::Updated(version) => return self.apply_update(*version),
            // An earlier sending may have taken effect, which a read will show.
            PlatformReply::Conflict => self.step = Some(Step::Read),
            PlatformReply::Plan(version, stored) => {
                return self.handle_plan(ctx, *version, stored.as_deref(), first_plan);
            }
            PlatformReply::Failed
            | PlatformReply::Coordinator(..)
            | PlatformReply::RoundDrawn(_) => {
                self.retry_at = ctx.now + ctx.jittered(RETRY_DELAY_MAX);
            }
        }
        self.tick(ctx);
        PlanOutcome::Pending
    }

    /// Handles the plan read from the platform, and writes the first plan of this term on top of
    /// it.
    fn handle_plan(
        &mut self,
        ctx: &mut Ctx<'_>,
        version: ObjectVersion,
        stored: Option<&Plan>,
        first_plan: impl FnOnce(&mut Ctx<'_>, Option<&Plan>) -> Plan,
    ) -> PlanOutcome {
        let nonce = stored.map(|it| it.nonce);
        let is_rolled_back = stored.is_some_and(|it| it.is_rolled_back(version));
        let is_own_write = !is_rolled_back
            && self.in_doubt.as_ref().is_some_and(|it| Some(it.plan.nonce) == nonce);
        match stored {
            Some(_) if is_own_write => return self.apply_update(version),
            Some(plan) if plan.term > self.term => return PlanOutcome::HigherTermFound(plan.term),
            // An acknowledged plan of this term was replaced.
            _ if self.acked.is_some() => return PlanOutcome::Deposed,
            // With another number of slots, the plan's slots don't correspond to those of this
            // group's document.
            Some(plan) if plan.slot_count != self.slot_count => {
                self.step = Some(Step::Read);
                self.retry_at = ctx.now + SLOT_COUNT_MISMATCH_RETRY;
                return PlanOutcome::Pending;
            }
            _ => {}
        }
        // The stored plan, if any, is of an earlier term. The first write of this term replaces it.
        self.version = version;
        self.in_doubt = None;
        self.step = None;
        let carried = self.carried.take().filter(|_| is_rolled_back || stored.is_none());
        // The stored plan may be newer than the carried one, if its acknowledgement never arrived
        // here.
        let newest = stored.map_or(0, |it| it.version);
        let carried = carried.map(|it| Plan { version: it.version.max(newest), ..it });
        self.is_history_lost |= is_rolled_back && carried.is_none();
        let plan = first_plan(ctx, carried.as_ref().or(stored));
        self.write(ctx, plan);
        PlanOutcome::Pending
    }

    /// Marks the plan in doubt as acknowledged, with this version of the object.
    fn apply_update(&mut self, version: ObjectVersion) -> PlanOutcome {
        self.version = version;
        self.step = None;
        self.acked = self.in_doubt.take();
        let plan = self.acked.as_ref().map_or(0, |it| it.plan.version);
        PlanOutcome::Acknowledged(plan)
    }
}
