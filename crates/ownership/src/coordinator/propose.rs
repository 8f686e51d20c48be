//! Makes the next plan from the planner's proposal for the current members, loads and grants.

use std::{collections::BTreeMap, time::Duration};

use model::{Instance, KeyHash, Slot, SlotCount, Term, Timestamp, Token};

use crate::{
    HotKey, NodeConfig, Plan, PlanSlot, UpstreamState,
    ctx::{Ctx, MemberId, is_same_incarnation},
    planner::{MoveUnit, PlannerInput, PlannerKey, PlannerMember, PlannerSlot, Proposal, propose},
    work,
};

use super::{
    Coordination,
    incarnations::SuccessorIncarnations,
    members::MemberRow,
    slots::{Holder, KeyHolder, SlotRow},
};

/// The delay of a proposal after a join or loss, so that those that follow within this time are
/// planned for together.
pub(super) const GATHER_DELAY: Duration = Duration::from_millis(100);
/// The longest delay of a term's first grants, after the first upstream is ready, while others are
/// starting. Upstreams that start together become ready within 1.5 s of each other, and slots
/// granted to the first alone would have to be moved again.
const FIRST_GRANTS_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// The interval of proposals without a change of members.
const PROPOSE_INTERVAL: Duration = Duration::from_secs(1);
/// The least time between two proposals, for each member. In simulation, a proposal for 112 members
/// and its plan took 70 to 190 ms of a tenth of a core; with this pause, proposals take at most a
/// third of such a machine.
const PROPOSAL_PAUSE_PER_MEMBER: Duration = Duration::from_millis(5);
/// The time for which a slot moved to even out the load is not moved again.
const MOVE_COOLDOWN: Duration = Duration::from_secs(10);
/// The period over which the moves of slots are counted and limited.
const CHURN_WINDOW: Duration = Duration::from_secs(60);
/// The most hot keys in a plan.
const PLANNED_KEYS_MAX: usize = 256;

/// Makes the first plan of a term: the stored plan of an earlier term, or one without owners.
pub(super) fn first_plan(
    nonce: u64,
    term: Term,
    slot_count: SlotCount,
    config: &NodeConfig,
    stored: Option<&Plan>,
) -> Plan {
    if let Some(stored) = stored {
        return Plan { version: stored.version + 1, term, nonce, ..stored.clone() };
    }
    let slot = |slot| PlanSlot { slot, owner: None, successors: Vec::new() };
    Plan {
        service: config.service.clone(),
        group: config.group,
        version: 1,
        term,
        nonce,
        slot_count,
        members: Vec::new(),
        slots: slot_count.iter().map(slot).collect(),
        hot_keys: Vec::new(),
        token_floor: Token::default(),
        era: 0,
    }
}

/// The members that a proposal considers, indexed in the order of their ids.
struct Members {
    instances: Vec<Instance>,
    ids: Vec<MemberId>,
    /// The weight of each member: its capacity relative to the mean member if slots may be granted
    /// to it, and 0 otherwise.
    weights: Vec<f64>,
}

impl Members {
    /// Returns the index of a member, if it is considered.
    fn index(&self, id: &MemberId) -> Option<u16> {
        self.ids.binary_search(id).ok().map(|it| it as u16)
    }
}

impl Coordination {
    /// Updates the candidates of slots and the rows of hot keys after a plan has been acknowledged.
    pub(super) fn apply_acknowledged_plan(&mut self) {
        self.sync_planned_keys();
        let includes_successors = self.includes_successors();
        work::add_entries(8 * self.slot_table.slots.len());
        for (slot, row) in self.slot_table.slot_count.iter().zip(&mut self.slot_table.slots) {
            if self.plan.slot_candidates(slot).eq(&row.candidates) {
                continue;
            }
            row.candidates = self.plan.slot_candidates(slot).cloned().collect();
            if includes_successors {
                self.route_version += 1;
                row.changed_version = self.route_version;
                self.slots_changed_version = self.route_version;
            }
        }
    }

    /// Makes a proposal if one is due, and writes it if it differs from the plan in force.
    pub(super) fn propose(&mut self, ctx: &mut Ctx<'_>) {
        let is_ready = self.is_settled() && self.plan.is_idle() && self.may_renew(ctx);
        // A proposal is made only after all grants that the plan in force allows.
        let paused_until = self.proposed_at + self.proposal_pause();
        let due_at = self.next_proposal_at.max(paused_until);
        if !is_ready || due_at > ctx.now || self.has_pending_grant(ctx.now) {
            return;
        }
        self.record_restart(ctx);
        if self.is_delayed_for_upstreams(ctx.now) {
            return;
        }
        self.proposed_at = ctx.now;
        self.update_speeds(ctx);
        let members = self.planned_members();
        let input = self.planner_input(ctx, &members);
        let proposal = propose(&input);
        let Some(acked) = self.plan.acked() else { return };
        let plan = self.next_plan(acked, &members, &input, &proposal);
        self.hot_keys.decay_unreported();
        if is_same_plan(acked, &plan) {
            self.next_proposal_at = ctx.now + PROPOSE_INTERVAL;
        } else if !self.confirmation.is_platform_reachable(ctx.now) {
            // While a plan is in doubt, only members that both plans list can be granted a lost
            // member's slots, so none is written while the platform is unreachable.
            self.confirmation.schedule_read(ctx.now);
        } else {
            self.next_proposal_at = ctx.now + PROPOSE_INTERVAL;
            let plan = Plan { nonce: ctx.draw_nonce(), ..plan };
            self.plan.write(ctx, plan);
        }
    }

    /// Records whether the group has restarted as a whole, and when all of its slots first had holders.
    fn record_restart(&mut self, ctx: &Ctx<'_>) {
        if !ctx.limits().weighs_capacity || self.served_since.is_some() {
            return;
        }
        let slots = &self.slot_table.slots;
        work::add_entries(slots.len() / 8);
        let held = slots.iter().filter(|it| it.holder.grant().is_some()).count();
        let has_owners = self.plan.owners().next().is_some();
        self.is_restarted.get_or_insert(has_owners && 2 * held < slots.len());
        self.served_since = (held == slots.len()).then_some(ctx.now);
    }

    /// Returns the least time from one proposal to the next.
    fn proposal_pause(&self) -> Duration {
        PROPOSAL_PAUSE_PER_MEMBER * self.members.rows.len() as u32
    }

    /// Returns whether the first grants of this term are still delayed for members that may soon be
    /// ready. If the plan of an earlier term names owners, only new incarnations of these are
    /// considered.
    fn is_delayed_for_upstreams(&mut self, now: Timestamp) -> bool {
        let was_granted = |row: &SlotRow| row.last_token != Token::default();
        if !self.members.any_eligible() || self.slot_table.slots.iter().any(was_granted) {
            self.first_ready_at = None;
            return false;
        }
        let since = *self.first_ready_at.get_or_insert(now);
        let is_expected = |row: &MemberRow| match self.plan.owners().next().is_some() {
            true => !row.leaving && self.has_predecessor(row) && !row.is_successor(),
            false => !row.leaving && row.upstream == UpstreamState::Starting,
        };
        self.members.rows.values().any(is_expected) && now.since(since) < FIRST_GRANTS_DELAY_MAX
    }

    /// Returns whether a vacant slot can be granted to one of its candidates under the plan in
    /// force.
    fn has_pending_grant(&self, now: Timestamp) -> bool {
        let incarnations = self.successor_incarnations();
        work::add_entries(self.slot_table.slots.len());
        self.slot_table.iter().any(|(slot, row)| {
            matches!(row.holder, Holder::Vacant { .. })
                && !self.is_reserved_for_successor(now, slot, &incarnations)
                && row.candidates.iter().any(|it| self.may_take(now, slot, it))
        })
    }

    /// Returns all members in the order of their ids.
    fn planned_members(&self) -> Members {
        let rows = self.members.rows.iter();
        Members {
            instances: rows.clone().map(|it| it.1.instance.clone()).collect(),
            ids: rows.clone().map(|it| it.0.clone()).collect(),
            weights: rows.map(|it| it.1.planner_weight()).collect(),
        }
    }

    /// Returns the input of the planner: the current members, slots, hot keys and loads.
    fn planner_input(&mut self, ctx: &Ctx<'_>, members: &Members) -> PlannerInput {
        self.recent_moves.retain(|it| ctx.now.since(*it) < CHURN_WINDOW);
        let moved = self.recent_moves.len() as f64 / f64::from(self.slot_table.slot_count.count());
        work::add_entries(16 * self.slot_table.slots.len());
        let instances = members.instances.iter().zip(&members.weights);
        let member = |(it, weight): (&Instance, &f64)| PlannerMember {
            zone: it.zone.clone(),
            weight: *weight,
        };
        let slots = self.slot_table.iter();
        let incarnations = self.successor_incarnations();
        let keeps_placement = ctx.limits().weighs_capacity && self.is_restarted == Some(true);
        let has_comparable_loads = self.has_comparable_loads(ctx.now, keeps_placement);
        PlannerInput {
            now: ctx.now,
            slot_count: self.slot_table.slot_count,
            ordered: ctx.config.ordered,
            members: instances.map(member).collect(),
            slots: slots
                .map(|(slot, row)| {
                    let it = self.planner_slot(ctx.now, slot, row, members, &incarnations);
                    let kept = || self.eligible_planned_owner(slot, members);
                    let owner = it.owner.or_else(|| keeps_placement.then(kept).flatten());
                    PlannerSlot { owner, ..it }
                })
                .collect(),
            keys: self.planner_keys(members),
            churn_left: match has_comparable_loads {
                true => (ctx.limits().churn_per_minute_max - moved).max(0.0),
                false => 0.0,
            },
            may_move_idle: has_comparable_loads || !keeps_placement,
            limits: ctx.limits().clone(),
        }
    }

    /// Returns a slot as the planner sees it. A slot in a handover counts as owned by its new
    /// owner. A slot without a holder counts as owned by the only member that may take it at once,
    /// or else by the new incarnation of its planned owner.
    fn planner_slot(
        &self,
        now: Timestamp,
        slot: Slot,
        row: &SlotRow,
        members: &Members,
        incarnations: &SuccessorIncarnations,
    ) -> PlannerSlot {
        let planned = self.plan.planned_owner(slot);
        let owner = match (&row.handover, row.holder.grant()) {
            (Some(it), _) => Some(&it.to),
            (None, Some(grant)) => Some(&grant.member),
            (None, None) => {
                let next = self.sole_member_with_runs(now, row);
                next.or_else(|| planned.and_then(|it| incarnations.of(it)))
            }
        };
        let candidates = self.plan.slot_candidates(slot);
        PlannerSlot {
            slot,
            owner: owner.and_then(|it| members.index(it)),
            successors: candidates.skip(1).filter_map(|it| members.index(it)).collect(),
            load_us_per_s: row.load_us_per_s.unwrap_or(0.0),
            movable_from: row.moved_at.map(|it| it + MOVE_COOLDOWN).unwrap_or_default(),
        }
    }

    /// Returns the planned owner of a slot if slots may be granted to it. After a restart of the whole
    /// group, slots have no holder until all earlier leases have ended. Their planned owners are kept
    /// meanwhile, because a new placement without known loads would undo the balance.
    fn eligible_planned_owner(&self, slot: Slot, members: &Members) -> Option<u16> {
        let planned = self.plan.planned_owner(slot).filter(|it| self.members.is_eligible(it))?;
        members.index(planned)
    }

    /// Returns the hot keys as the planner sees them: those in the table, and those reported by
    /// members.
    fn planner_keys(&self, members: &Members) -> Vec<PlannerKey> {
        let rows = self.slot_table.keys.iter().map(|(key_hash, row)| {
            let owner = match &row.holder {
                KeyHolder::Entry(Holder::Member(it)) => members.index(&it.member),
                _ => self.plan.planned_key_owner(*key_hash).and_then(|it| members.index(it)),
            };
            let candidates = self.plan.key_candidates(*key_hash);
            PlannerKey {
                key_hash: *key_hash,
                owner,
                successors: candidates.skip(1).filter_map(|it| members.index(it)).collect(),
                load_us_per_s: self.hot_keys.load(*key_hash),
            }
        });
        let untracked = self.hot_keys.keys().filter(|it| !self.slot_table.keys.contains_key(it));
        let untracked = untracked.map(|key_hash| PlannerKey {
            key_hash,
            owner: None,
            successors: Vec::new(),
            load_us_per_s: self.hot_keys.load(key_hash),
        });
        rows.chain(untracked).collect()
    }

    /// Returns the proposal as a plan. Current holders and new owners of handovers stay candidates,
    /// and so does each incarnation at whose upstream earlier runs may continue.
    fn next_plan(
        &self,
        acked: &Plan,
        members: &Members,
        input: &PlannerInput,
        proposal: &Proposal,
    ) -> Plan {
        let mut plan = Plan {
            version: acked.version + 1,
            term: self.term,
            members: members.instances.clone(),
            slots: Vec::with_capacity(input.slots.len()),
            hot_keys: Vec::new(),
            token_floor: Token { term: self.term, sequence: self.sequence },
            ..acked.clone()
        };
        work::add_entries(16 * input.slots.len());
        let moves: BTreeMap<MoveUnit, Option<u16>> =
            proposal.moves.iter().rev().map(|it| (it.unit, it.to)).collect();
        for (at, slot) in input.slots.iter().enumerate() {
            let owner = moves.get(&MoveUnit::Slot(slot.slot)).copied().unwrap_or(slot.owner);
            let mut successors = proposal.successors.get(at).cloned().unwrap_or_default();
            let row = &self.slot_table.slots[at];
            let holder = row.holder.grant().and_then(|it| members.index(&it.member));
            let new_owner = row.handover.as_ref().and_then(|it| members.index(&it.to));
            append_successors(&mut successors, owner, [holder, new_owner]);
            self.retain_candidate(&mut successors, owner, &row.candidates, members);
            append_incarnations(
                &mut plan.members,
                &mut successors,
                owner,
                row.runs.instances(input.now),
            );
            plan.slots.push(PlanSlot { slot: slot.slot, owner, successors });
        }
        for key in &input.keys {
            let owner = moves.get(&MoveUnit::Key(key.key_hash)).copied().unwrap_or(key.owner);
            let Some(mut entry) = self.next_key(key.key_hash, owner, members, proposal) else {
                continue;
            };
            if let Some(row) = self.slot_table.keys.get(&key.key_hash) {
                let instances = row.runs.instances(input.now);
                append_incarnations(&mut plan.members, &mut entry.successors, owner, instances);
            }
            plan.hot_keys.push(entry);
        }
        plan.hot_keys.truncate(PLANNED_KEYS_MAX);
        plan
    }

    /// Keeps one candidate of the previous plan besides the owner. Until a plan is acknowledged, a
    /// lost owner's slot can be granted only to members that both this plan and the one before it
    /// list.
    fn retain_candidate(
        &self,
        successors: &mut Vec<u16>,
        owner: Option<u16>,
        previous: &[MemberId],
        members: &Members,
    ) {
        let eligible = |it: &MemberId| members.index(it).filter(|_| self.members.is_eligible(it));
        let mut others = previous.iter().filter_map(eligible).filter(|it| Some(*it) != owner);
        let has_other = others.clone().any(|it| successors.contains(&it));
        if let (false, Some(it)) = (has_other, others.next()) {
            successors.push(it);
        }
    }

    /// Returns the entry of a hot key in the next plan. A key keeps its entry until it has been
    /// returned to its slot.
    fn next_key(
        &self,
        key_hash: KeyHash,
        owner: Option<u16>,
        members: &Members,
        proposal: &Proposal,
    ) -> Option<HotKey> {
        let row = self.slot_table.keys.get(&key_hash);
        let has_entry = row.is_some_and(|it| it.holder != KeyHolder::Slot);
        if owner.is_none() && !has_entry {
            return None;
        }
        let proposed = proposal.key_successors.iter().find(|it| it.0 == key_hash);
        let mut successors = proposed.map(|it| it.1.clone()).unwrap_or_default();
        let holder = row.and_then(|it| match &it.holder {
            KeyHolder::Entry(Holder::Member(it)) => members.index(&it.member),
            _ => None,
        });
        append_successors(&mut successors, owner, [holder, None]);
        Some(HotKey { key_hash, owner, successors })
    }
}

/// Appends members to the successors of an entry, without its owner and without duplicates.
fn append_successors(successors: &mut Vec<u16>, owner: Option<u16>, others: [Option<u16>; 2]) {
    successors.retain(|it| Some(*it) != owner);
    for it in others.into_iter().flatten() {
        if Some(it) != owner && !successors.contains(&it) {
            successors.push(it);
        }
    }
}

/// Appends incarnations with earlier runs to the successors of an entry, and those that have ended
/// to the plan's members, so that a later term knows at which upstreams runs may continue.
fn append_incarnations<'a>(
    members: &mut Vec<Instance>,
    successors: &mut Vec<u16>,
    owner: Option<u16>,
    instances: impl Iterator<Item = &'a Instance>,
) {
    for instance in instances {
        let known_index = members.iter().position(|it| is_same_incarnation(it, instance));
        let index = known_index.unwrap_or_else(|| {
            members.push(instance.clone());
            members.len() - 1
        });
        append_successors(successors, owner, [Some(index as u16), None]);
    }
}

/// Returns whether two plans have the same members, slots and hot keys.
fn is_same_plan(a: &Plan, b: &Plan) -> bool {
    a.members == b.members && a.slots == b.slots && a.hot_keys == b.hot_keys
}
