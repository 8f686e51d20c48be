//! Placing of services with ordered keys.

use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{apply, input, loads};
use crate::{
    MoveReason,
    planner::{PlannerInput, Proposal, propose},
};

const SLOTS: usize = 256;

fn ordered(members: usize, loads: &[f64], owner: impl Fn(usize) -> Option<u16>) -> PlannerInput {
    PlannerInput { ordered: true, ..input(members, loads, owner) }
}

/// Runs of one owner's slots, over all owners.
fn runs(input: &PlannerInput) -> usize {
    let owners: Vec<_> = input.slots.iter().map(|it| it.owner).collect();
    1 + owners.windows(2).filter(|it| it[0] != it[1]).count()
}

/// The busiest member's load over the mean.
fn imbalance(input: &PlannerInput) -> f64 {
    let loads = loads(input);
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

fn step(input: &PlannerInput) -> (PlannerInput, Proposal) {
    let proposal = propose(input);
    (apply(input, &proposal), proposal)
}

#[test]
fn the_first_placement_is_one_run_for_each_member() {
    let (placed, proposal) = step(&ordered(4, &[0.0; SLOTS], |_| None));
    assert_eq!(runs(&placed), 4);
    assert!(proposal.moves.iter().all(|it| it.reason == MoveReason::First));
    for member in 0..4 {
        assert_eq!(placed.slots.iter().filter(|it| it.owner == Some(member)).count(), SLOTS / 4);
    }
    // Nothing moves any more, and the successors stay.
    let (again, proposal) = step(&placed);
    assert!(proposal.moves.is_empty());
    let successors =
        |it: &PlannerInput| -> Vec<_> { it.slots.iter().map(|it| it.successors.clone()).collect() };
    assert_eq!(successors(&again), successors(&placed));
}

#[test]
fn a_loss_leaves_few_runs_and_even_shares() {
    let (mut placed, _) = step(&ordered(4, &[0.0; SLOTS], |_| None));
    // As the coordinator does it: the first successor that lives takes the slot.
    for slot in placed.slots.iter_mut().filter(|it| it.owner == Some(1)) {
        slot.owner = slot.successors.first().copied();
    }
    placed.members[1].weight = 0.0;
    assert!(runs(&placed) <= 6, "{} runs", runs(&placed));
    let counts: Vec<usize> = [0, 2, 3]
        .iter()
        .map(|member| placed.slots.iter().filter(|it| it.owner == Some(*member)).count())
        .collect();
    assert!(counts.iter().all(|it| (84..=87).contains(it)), "{counts:?}");
}

#[test]
fn a_leaving_member_gives_all_away() {
    let (mut placed, _) = step(&ordered(4, &[0.0; SLOTS], |_| None));
    placed.members[2].weight = 0.0;
    let (left, proposal) = step(&placed);
    assert!(left.slots.iter().all(|it| it.owner != Some(2)));
    assert!(proposal.moves.iter().all(|it| it.reason == MoveReason::Leave));
    assert!(runs(&left) <= 5, "{} runs", runs(&left));
}

/// A stretch of 6 of 256 slots carries 40% of the load of four members that have 6 requests in flight
/// each: what the platform calls a hot stretch of 200 to 400 keys.
#[test]
fn a_hot_stretch_is_cut_in_its_midst() {
    let (placed, _) = step(&ordered(4, &[0.0; SLOTS], |_| None));
    let mut hot = placed.clone();
    for (at, slot) in hot.slots.iter_mut().enumerate() {
        let load = if (40..46).contains(&at) { 160.0 } else { 1440.0 / 250.0 };
        slot.load_us_per_s = load * super::LOAD_US_PER_S;
    }
    hot.limits.imbalance_target = 1.3;
    assert!(imbalance(&hot) > 2.0);
    let (relieved, proposal) = step(&hot);
    let moved = proposal.moves.len();
    assert!(imbalance(&relieved) < 1.35, "{}", imbalance(&relieved));
    assert!(moved <= 4, "{moved} slots moved");
    assert!(runs(&relieved) <= 9, "{} runs", runs(&relieved));
}

#[test]
fn noise_moves_nothing() {
    let (placed, _) = step(&ordered(4, &[0.0; SLOTS], |_| None));
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..100 {
        let mut noisy = placed.clone();
        for slot in &mut noisy.slots {
            // Two requests in flight for each member on average.
            slot.load_us_per_s = rng.random_range(0.0..6.25) * super::LOAD_US_PER_S;
        }
        noisy.limits.imbalance_target = 1.3;
        assert!(propose(&noisy).moves.is_empty());
    }
}

/// 41 members with 99 slots each; a stretch of 13 slots carries two fifths of the load.
fn large_with_a_hot_stretch() -> PlannerInput {
    let slots = 41 * 99;
    let hot = 1204..1217;
    let load = |it: usize| if hot.contains(&it) { 500_000.0 } else { 2_400.0 };
    let loads: Vec<f64> = (0..slots).map(load).collect();
    ordered(41, &loads, |it| Some((it / 99) as u16))
}

fn owners_of_the_stretch(input: &PlannerInput) -> usize {
    let owners: std::collections::BTreeSet<_> =
        input.slots[1204..1217].iter().map(|it| it.owner).collect();
    owners.len()
}

#[test]
fn a_hot_stretch_of_a_large_service_is_shared_out_by_one_proposal() {
    let (next, _) = step(&large_with_a_hot_stretch());
    assert!(owners_of_the_stretch(&next) >= 12, "{} owners", owners_of_the_stretch(&next));
    // One slot of the stretch is 1.3 fair loads.
    assert!(imbalance(&next) < 2.5, "{}", imbalance(&next));
}

#[test]
fn a_hot_stretch_that_was_moved_as_a_whole_is_cut_all_the_same() {
    let mut fleet = large_with_a_hot_stretch();
    for slot in &mut fleet.slots[1204..1217] {
        slot.movable_from = fleet.now + std::time::Duration::from_secs(10);
    }
    let (next, _) = step(&fleet);
    assert!(owners_of_the_stretch(&next) >= 12, "{} owners", owners_of_the_stretch(&next));
}

/// Two of four own everything, in turns of four slots: no run of theirs carries as much as is to move.
#[test]
fn slots_in_many_short_runs_are_evened_out_too() {
    let loads = [100_000.0; 200];
    let mut fleet = ordered(4, &loads, |it| Some((it / 4 % 2) as u16));
    for _ in 0..8 {
        fleet = step(&fleet).0;
    }
    assert!(imbalance(&fleet) < 1.35, "{}", imbalance(&fleet));
}

#[test]
fn a_member_that_cannot_be_relieved_keeps_no_other_waiting() {
    // The first has one slot that carries more than anybody should; the second can give some away.
    let loads: Vec<f64> = (0..80)
        .map(|it| match it {
            0 => 9_000_000.0,
            10..20 => 400_000.0,
            _ => 50_000.0,
        })
        .collect();
    let (next, proposal) = step(&ordered(8, &loads, |it| Some((it / 10) as u16)));
    assert!(!proposal.moves.is_empty());
    let second = next.slots[10..20].iter().filter(|it| it.owner == Some(1)).count();
    assert!(second < 10, "{second} slots");
}

/// Whatever comes: no slot is left with nobody or with one that may own nothing, no proposal makes the
/// busiest member busier by more than what idle slots count as (5% of the load), and moves for balance keep to the churn.
#[test]
fn random_fleets() {
    fn run(seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let members = rng.random_range(1..8);
        let slots = rng.random_range(1..200);
        let draw = |rng: &mut Pcg64Mcg| match rng.random_range(0..10) {
            0 => rng.random_range(0.0..400.0),
            _ => rng.random_range(0.0..10.0),
        };
        let slot_loads: Vec<f64> = (0..slots).map(|_| draw(&mut rng)).collect();
        let owners: Vec<Option<u16>> = (0..slots)
            .map(|_| rng.random_bool(0.9).then(|| rng.random_range(0..members as u16)))
            .collect();
        let mut fleet = ordered(members, &slot_loads, |it| owners[it]);
        for member in fleet.members.iter_mut().skip(1) {
            member.weight = if rng.random_bool(0.2) { 0.0 } else { 1.0 };
        }
        fleet.churn_left = rng.random_range(0.0..0.5);
        let (next, proposal) = step(&fleet);
        for slot in &next.slots {
            let owner = slot.owner.expect("every slot has an owner");
            assert!(fleet.members[usize::from(owner)].weight > 0.0, "seed {seed}");
            assert!(!slot.successors.contains(&owner), "seed {seed}");
        }
        let balanced = proposal.moves.iter().filter(|it| it.reason == MoveReason::Rebalance);
        assert!(balanced.count() as f64 <= fleet.churn_left * slots as f64 + 1e-9, "seed {seed}");
        let rested = PlannerInput { churn_left: 0.0, ..fleet.clone() };
        let (forced, _) = step(&rested);
        let busiest = |it: &PlannerInput| loads(it).into_iter().fold(0.0, f64::max);
        let idle = 0.05 * slot_loads.iter().sum::<f64>();
        assert!(busiest(&next) <= busiest(&forced) + idle, "seed {seed}");
    }
    fn property(seed: u64) {
        run(seed);
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(100, 1))
        .quickcheck(property as fn(u64));
}
