//! The next plan: what the planner proposes from members, loads and grants as they stand.

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

/// Joins and losses that come within this time are planned for together.
pub(super) const GATHER_DELAY: Duration = Duration::from_millis(100);
/// The first grants of a term wait this long for members whose upstreams are still starting, once the first
/// is ready: upstreams that start together announce themselves within 1.5 s of each other, and what the
/// first is granted alone has to be moved again.
const FIRST_GRANTS_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// How often a new plan is thought of.
const PROPOSE_INTERVAL: Duration = Duration::from_secs(1);
/// A proposal for 112 members and its plan were simulated to keep a tenth of a core busy for 70 to 190 ms: with this
/// pause between them, proposals take a third of such a machine at most.
const PROPOSAL_PAUSE_PER_MEMBER: Duration = Duration::from_millis(5);
/// A slot that was moved stays for this long.
const MOVE_COOLDOWN: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_secs(60);
/// The most hot keys with entries of their own.
const PLANNED_KEYS_MAX: usize = 256;

/// A term's first plan: what an earlier term planned, or nothing.
pub(super) fn first_plan(
    nonce: u64,
    term: Term,
    slot_count: SlotCount,
    config: &NodeConfig,
    found: Option<&Plan>,
) -> Plan {
    if let Some(found) = found {
        return Plan { version: found.version + 1, term, nonce, ..found.clone() };
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

/// The members that a proposal is about, by index, in the order of their ids.
struct Members {
    instances: Vec<Instance>,
    ids: Vec<MemberId>,
    weights: Vec<f64>,
}

impl Members {
    fn index(&self, id: &MemberId) -> Option<u16> {
        self.ids.binary_search(id).ok().map(|it| it as u16)
    }
}

impl Coordination {
    pub(super) fn apply_acknowledged_plan(&mut self) {
        self.sync_planned_keys();
        let told = self.includes_successors();
        work::add_entries(8 * self.slot_table.slots.len());
        for (slot, row) in self.slot_table.slot_count.iter().zip(&mut self.slot_table.slots) {
            if self.plan.slot_candidates(slot).eq(&row.candidates) {
                continue;
            }
            row.candidates = self.plan.slot_candidates(slot).cloned().collect();
            if told {
                self.route_version += 1;
                row.changed_version = self.route_version;
                self.slots_changed_version = self.route_version;
            }
        }
    }

    /// Writes a new plan where the planner has a better one.
    pub(super) fn propose(&mut self, ctx: &mut Ctx<'_>) {
        let ready = self.is_settled() && self.plan.is_idle() && self.may_renew(ctx);
        // What the plan in force can still repair is repaired first.
        let rested_at = self.proposed_at + self.proposal_pause();
        let due_at = self.next_proposal_at.max(rested_at);
        if !ready || due_at > ctx.now || self.has_pending_grant(ctx.now) {
            return;
        }
        if self.is_delayed_for_upstreams(ctx.now) {
            return;
        }
        self.proposed_at = ctx.now;
        let members = self.planned_members();
        let input = self.planner_input(ctx, &members);
        let proposal = propose(&input);
        let Some(acked) = self.plan.acked() else { return };
        let plan = self.next_plan(acked, &members, &input, &proposal);
        self.hot_keys.decay_unreported();
        if is_same_plan(acked, &plan) {
            self.next_proposal_at = ctx.now + PROPOSE_INTERVAL;
        } else if !self.confirmation.is_platform_reachable(ctx.now) {
            // A plan in doubt would only narrow whom a loss can be repaired with.
            self.confirmation.schedule_read(ctx.now);
        } else {
            self.next_proposal_at = ctx.now + PROPOSE_INTERVAL;
            let plan = Plan { nonce: ctx.nonce(), ..plan };
            self.plan.write(ctx, plan);
        }
    }

    /// The least time from one proposal to the next.
    fn proposal_pause(&self) -> Duration {
        PROPOSAL_PAUSE_PER_MEMBER * self.members.rows.len() as u32
    }

    /// Whether nothing was granted in this term and some member may soon be ready for its share. Where an
    /// earlier term planned owners, only new lives of these are waited for.
    fn is_delayed_for_upstreams(&mut self, now: Timestamp) -> bool {
        let granted = |row: &SlotRow| row.last_token != Token::default();
        if !self.members.any_eligible() || self.slot_table.slots.iter().any(granted) {
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

    fn has_pending_grant(&self, now: Timestamp) -> bool {
        let incarnations = self.successor_incarnations();
        work::add_entries(self.slot_table.slots.len());
        self.slot_table.iter().any(|(slot, row)| {
            matches!(row.holder, Holder::Vacant { .. })
                && !self.is_reserved_for_successor(now, slot, &incarnations)
                && row.candidates.iter().any(|it| self.may_take(now, slot, it))
        })
    }

    fn planned_members(&self) -> Members {
        let rows = self.members.rows.iter();
        let weight = |row: &MemberRow| if row.is_eligible() { 1.0 } else { 0.0 };
        Members {
            instances: rows.clone().map(|it| it.1.instance.clone()).collect(),
            ids: rows.clone().map(|it| it.0.clone()).collect(),
            weights: rows.map(|it| weight(it.1)).collect(),
        }
    }

    fn planner_input(&mut self, ctx: &Ctx<'_>, members: &Members) -> PlannerInput {
        self.recent_moves.retain(|it| ctx.now.since(*it) < MINUTE);
        let moved = self.recent_moves.len() as f64 / f64::from(self.slot_table.slot_count.count());
        work::add_entries(16 * self.slot_table.slots.len());
        let instances = members.instances.iter().zip(&members.weights);
        let member = |(it, weight): (&Instance, &f64)| PlannerMember {
            zone: it.zone.clone(),
            weight: *weight,
        };
        let slots = self.slot_table.iter();
        let incarnations = self.successor_incarnations();
        PlannerInput {
            now: ctx.now,
            slot_count: self.slot_table.slot_count,
            ordered: ctx.config.ordered,
            members: instances.map(member).collect(),
            slots: slots
                .map(|(slot, row)| self.planner_slot(ctx.now, slot, row, members, &incarnations))
                .collect(),
            keys: self.planner_keys(members),
            churn_left: match self.has_comparable_loads(ctx.now) {
                true => (ctx.limits().churn_per_minute_max - moved).max(0.0),
                false => 0.0,
            },
            limits: ctx.limits().clone(),
        }
    }

    /// A slot on its way counts as that of its next owner, one that nobody holds as that of the member that
    /// alone can take it at once, or else of the new life of its planned owner.
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
        let names = self.plan.slot_candidates(slot);
        PlannerSlot {
            slot,
            owner: owner.and_then(|it| members.index(it)),
            successors: names.skip(1).filter_map(|it| members.index(it)).collect(),
            load_us_per_s: row.load_us_per_s.unwrap_or(0.0),
            movable_from: row.moved_at.map(|it| it + MOVE_COOLDOWN).unwrap_or_default(),
        }
    }

    fn planner_keys(&self, members: &Members) -> Vec<PlannerKey> {
        let rows = self.slot_table.keys.iter().map(|(key_hash, row)| {
            let owner = match &row.holder {
                KeyHolder::Entry(Holder::Member(it)) => members.index(&it.member),
                _ => self.plan.planned_key_owner(*key_hash).and_then(|it| members.index(it)),
            };
            let names = self.plan.key_candidates(*key_hash);
            PlannerKey {
                key_hash: *key_hash,
                owner,
                successors: names.skip(1).filter_map(|it| members.index(it)).collect(),
                load_us_per_s: self.hot_keys.load(*key_hash),
            }
        });
        let new = self.hot_keys.keys().filter(|it| !self.slot_table.keys.contains_key(it));
        let new = new.map(|key_hash| PlannerKey {
            key_hash,
            owner: None,
            successors: Vec::new(),
            load_us_per_s: self.hot_keys.load(key_hash),
        });
        rows.chain(new).collect()
    }

    /// The proposal as a plan. Whoever holds something now, or is about to, stays named for it, and so does
    /// each life beside whose upstream runs of it may go on.
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
            let next = row.handover.as_ref().and_then(|it| members.index(&it.to));
            append_successors(&mut successors, owner, [holder, next]);
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
                let lives = row.runs.instances(input.now);
                append_incarnations(&mut plan.members, &mut entry.successors, owner, lives);
            }
            plan.hot_keys.push(entry);
        }
        plan.hot_keys.truncate(PLANNED_KEYS_MAX);
        plan
    }

    /// Until a plan is acknowledged, a loss is repaired with those that it and the one before both
    /// name: somebody besides the owner must be.
    fn retain_candidate(
        &self,
        successors: &mut Vec<u16>,
        owner: Option<u16>,
        former: &[MemberId],
        members: &Members,
    ) {
        let able = |it: &MemberId| members.index(it).filter(|_| self.members.is_eligible(it));
        let mut former = former.iter().filter_map(able).filter(|it| Some(*it) != owner);
        let kept = former.clone().any(|it| successors.contains(&it));
        if let (false, Some(it)) = (kept, former.next()) {
            successors.push(it);
        }
    }

    /// A key keeps its entry until it follows its slot again.
    fn next_key(
        &self,
        key_hash: KeyHash,
        owner: Option<u16>,
        members: &Members,
        proposal: &Proposal,
    ) -> Option<HotKey> {
        let row = self.slot_table.keys.get(&key_hash);
        let apart = row.is_some_and(|it| it.holder != KeyHolder::Slot);
        if owner.is_none() && !apart {
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

fn append_successors(successors: &mut Vec<u16>, owner: Option<u16>, others: [Option<u16>; 2]) {
    successors.retain(|it| Some(*it) != owner);
    for it in others.into_iter().flatten() {
        if Some(it) != owner && !successors.contains(&it) {
            successors.push(it);
        }
    }
}

/// Names lives that have ended too, behind the members: a later term has to know at whose upstreams runs may go
/// on.
fn append_incarnations<'a>(
    members: &mut Vec<Instance>,
    successors: &mut Vec<u16>,
    owner: Option<u16>,
    lives: impl Iterator<Item = &'a Instance>,
) {
    for life in lives {
        let known = members.iter().position(|it| is_same_incarnation(it, life));
        let at = known.unwrap_or_else(|| {
            members.push(life.clone());
            members.len() - 1
        });
        append_successors(successors, owner, [Some(at as u16), None]);
    }
}

fn is_same_plan(a: &Plan, b: &Plan) -> bool {
    a.members == b.members && a.slots == b.slots && a.hot_keys == b.hot_keys
}
