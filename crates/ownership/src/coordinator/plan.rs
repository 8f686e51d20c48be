//! The plan in the platform: what it names, and the one update of it that may be on its way.

use std::time::Duration;

use model::{Instance, KeyHash, ObjectVersion, Slot, SlotCount, Term, Timestamp};

use crate::{
    CallId, Plan, PlatformReply, PlatformRequest,
    ctx::{Ctx, MemberId},
};

const RETRY_AFTER: Duration = Duration::from_millis(100);
/// A group whose plan has another number of slots is left alone; this is how often it is looked at.
const OTHER_SLOTS_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Step {
    /// Read what the plan is.
    Read,
    /// Write this one on top of the one that is known.
    Write(Box<Plan>),
}

/// Names of one plan, by slot and key.
#[derive(Debug)]
struct IndexedPlan {
    plan: Plan,
    ids: Vec<MemberId>,
}

impl IndexedPlan {
    fn new(plan: Plan) -> IndexedPlan {
        let ids = plan.members.iter().map(MemberId::from).collect();
        IndexedPlan { plan, ids }
    }

    fn slot(&self, slot: Slot) -> impl Iterator<Item = &MemberId> {
        self.slot_indexes(slot).filter_map(|it| self.ids.get(it))
    }

    fn slot_candidate_instances(&self, slot: Slot) -> impl Iterator<Item = &Instance> {
        self.slot_indexes(slot).filter_map(|it| self.plan.members.get(it))
    }

    fn key(&self, key_hash: KeyHash) -> impl Iterator<Item = &MemberId> {
        self.key_indexes(key_hash).filter_map(|it| self.ids.get(it))
    }

    fn key_candidate_instances(&self, key_hash: KeyHash) -> impl Iterator<Item = &Instance> {
        self.key_indexes(key_hash).filter_map(|it| self.plan.members.get(it))
    }

    fn slot_indexes(&self, slot: Slot) -> impl Iterator<Item = usize> {
        let entry = self.plan.slots.get(usize::from(slot.0));
        entry.into_iter().flat_map(|it| indexes(it.owner, &it.successors))
    }

    fn key_indexes(&self, key_hash: KeyHash) -> impl Iterator<Item = usize> {
        let entry = self.plan.hot_keys.iter().find(|it| it.key_hash == key_hash);
        entry.into_iter().flat_map(|it| indexes(it.owner, &it.successors))
    }
}

fn indexes(owner: Option<u16>, successors: &[u16]) -> impl Iterator<Item = usize> {
    owner.into_iter().chain(successors.iter().copied()).map(usize::from)
}

/// What has become of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlanOutcome {
    NotOwnCall,
    Pending,
    /// A plan has been acknowledged, with this version.
    Acknowledged(u64),
    /// Another term has written a plan.
    Deposed,
    /// The plan is of this term, which is above the own one.
    HigherTermFound(Term),
}

/// `plans/S/G` as the coordinator sees it. Grants rest on plans that this term has written itself:
/// its first write also keeps any write of an earlier term from taking effect.
#[derive(Debug)]
pub(crate) struct PlanWriter {
    term: Term,
    slot_count: SlotCount,
    version: ObjectVersion,
    /// The newest plan that this term has seen acknowledged.
    acked: Option<IndexedPlan>,
    /// A plan written whose fate is not known.
    in_doubt: Option<IndexedPlan>,
    step: Option<Step>,
    call: Option<CallId>,
    retry_at: Timestamp,
    /// The last plan of this node's own earlier term, in place of one that the platform has come back with.
    carried: Option<Plan>,
    /// The first plan rests on one that may have been followed by others.
    history_lost: bool,
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
            history_lost: false,
        }
    }

    /// A plan of this term is in force, and grants may rest on it.
    pub(crate) fn acked(&self) -> Option<&Plan> {
        self.acked.as_ref().map(|it| &it.plan)
    }

    /// Whether later plans than the one that this term went on from may have been lost.
    pub(crate) fn history_lost(&self) -> bool {
        self.history_lost
    }

    /// Whether no read or write is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.step.is_none()
    }

    /// All that may hold a slot by the plan in force.
    pub(crate) fn slot_candidates(&self, slot: Slot) -> impl Iterator<Item = &MemberId> {
        self.acked.iter().flat_map(move |it| it.slot(slot))
    }

    /// The same, with their addresses.
    pub(crate) fn slot_candidate_instances(&self, slot: Slot) -> impl Iterator<Item = &Instance> {
        self.acked.iter().flat_map(move |it| it.slot_candidate_instances(slot))
    }

    pub(crate) fn key_candidate_instances(
        &self,
        key_hash: KeyHash,
    ) -> impl Iterator<Item = &Instance> {
        self.acked.iter().flat_map(move |it| it.key_candidate_instances(key_hash))
    }

    pub(crate) fn key_candidates(&self, key_hash: KeyHash) -> impl Iterator<Item = &MemberId> {
        self.acked.iter().flat_map(move |it| it.key(key_hash))
    }

    /// Whether each plan that may be in force names the member for the slot.
    pub(crate) fn lists_for_slot(&self, slot: Slot, member: &MemberId) -> bool {
        let names = |it: &IndexedPlan| it.slot(slot).any(|it| it == member);
        self.acked.as_ref().is_some_and(names) && self.in_doubt.as_ref().is_none_or(names)
    }

    pub(crate) fn lists_for_key(&self, key_hash: KeyHash, member: &MemberId) -> bool {
        let names = |it: &IndexedPlan| it.key(key_hash).any(|it| it == member);
        self.acked.as_ref().is_some_and(names) && self.in_doubt.as_ref().is_none_or(names)
    }

    /// The planned owners of all slots, as often as each has one.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &Instance> {
        let plan = self.acked();
        let owners = plan.into_iter().flat_map(|it| it.slots.iter().filter_map(|it| it.owner));
        owners.filter_map(move |it| plan?.members.get(usize::from(it)))
    }

    /// The planned owner of a slot.
    pub(crate) fn planned_owner(&self, slot: Slot) -> Option<&MemberId> {
        let acked = self.acked.as_ref()?;
        let owner = acked.plan.slots.get(usize::from(slot.0))?.owner?;
        acked.ids.get(usize::from(owner))
    }

    /// The planned owner of a hot key's entry; none: the key is to follow its slot.
    pub(crate) fn planned_key_owner(&self, key_hash: KeyHash) -> Option<&MemberId> {
        let acked = self.acked.as_ref()?;
        let owner = acked.plan.hot_keys.iter().find(|it| it.key_hash == key_hash)?.owner?;
        acked.ids.get(usize::from(owner))
    }

    /// Starts to write a plan; its version and nonce are set here.
    pub(crate) fn write(&mut self, ctx: &mut Ctx<'_>, plan: Plan) {
        assert!(self.step.is_none(), "a second write of the plan");
        let former = self.acked.as_ref().map_or(0, |it| it.plan.version);
        assert!(plan.version > former, "plan version {} after {former}", plan.version);
        let plan = Plan { era: self.version.era(), ..plan };
        self.step = Some(Step::Write(Box::new(plan)));
        self.retry_at = ctx.now;
        self.tick(ctx);
    }

    /// Sends what is to be sent, again where it failed.
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

    pub(crate) fn reply(
        &mut self,
        ctx: &mut Ctx<'_>,
        call: CallId,
        reply: &PlatformReply,
        first: impl FnOnce(&mut Ctx<'_>, Option<&Plan>) -> Plan,
    ) -> PlanOutcome {
        if self.call != Some(call) {
            return PlanOutcome::NotOwnCall;
        }
        self.call = None;
        match reply {
            PlatformReply::Updated(version) => return self.apply_update(*version),
            // An earlier sending may have taken effect: reading will show.
            PlatformReply::Conflict => self.step = Some(Step::Read),
            PlatformReply::Plan(version, found) => {
                return self.read(ctx, *version, found.as_deref(), first);
            }
            PlatformReply::Failed | PlatformReply::Coordinator(..) => {
                self.retry_at = ctx.now + ctx.jittered(RETRY_AFTER);
            }
        }
        self.tick(ctx);
        PlanOutcome::Pending
    }

    fn read(
        &mut self,
        ctx: &mut Ctx<'_>,
        version: ObjectVersion,
        found: Option<&Plan>,
        first: impl FnOnce(&mut Ctx<'_>, Option<&Plan>) -> Plan,
    ) -> PlanOutcome {
        let nonce = found.map(|it| it.nonce);
        let rolled_back = found.is_some_and(|it| it.is_rolled_back(version));
        let own =
            !rolled_back && self.in_doubt.as_ref().is_some_and(|it| Some(it.plan.nonce) == nonce);
        match found {
            Some(_) if own => return self.apply_update(version),
            Some(plan) if plan.term > self.term => return PlanOutcome::HigherTermFound(plan.term),
            // What this term has seen acknowledged was replaced.
            _ if self.acked.is_some() => return PlanOutcome::Deposed,
            // Slots of another size: what they name says nothing about the slots of this document.
            Some(plan) if plan.slot_count != self.slot_count => {
                self.step = Some(Step::Read);
                self.retry_at = ctx.now + OTHER_SLOTS_RETRY;
                return PlanOutcome::Pending;
            }
            _ => {}
        }
        // An earlier term wrote meanwhile: the first write of this term goes on top of that.
        self.version = version;
        self.in_doubt = None;
        self.step = None;
        let carried = self.carried.take().filter(|_| rolled_back || found.is_none());
        // One that this node never saw acknowledged may be there.
        let newest = found.map_or(0, |it| it.version);
        let carried = carried.map(|it| Plan { version: it.version.max(newest), ..it });
        self.history_lost |= rolled_back && carried.is_none();
        let plan = first(ctx, carried.as_ref().or(found));
        self.write(ctx, plan);
        PlanOutcome::Pending
    }

    fn apply_update(&mut self, version: ObjectVersion) -> PlanOutcome {
        self.version = version;
        self.step = None;
        self.acked = self.in_doubt.take();
        let plan = self.acked.as_ref().map_or(0, |it| it.plan.version);
        PlanOutcome::Acknowledged(plan)
    }
}
