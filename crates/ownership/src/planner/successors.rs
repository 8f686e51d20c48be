//! Who follows an owner that is lost: of another availability zone, spread so that one loss adds
//! little to each, and kept while they still do.

use model::{KeyHash, Zone};

use super::{SUCCESSOR_COUNT, board::Board};

/// A first successor is kept while the load it would come to is at most this much above the best.
const KEPT: f64 = 1.5;
/// How much the loss of a whole zone counts next to that of one member.
const ZONE_LOSS_SHARE: f64 = 0.25;

/// Successors of each slot, and of each key with an entry.
pub(super) struct Successors {
    pub(super) slots: Vec<Vec<u16>>,
    pub(super) keys: Vec<(KeyHash, Vec<u16>)>,
}

/// A slot, or a key with an entry, and its former successors.
struct Item<'a> {
    owner: Option<u16>,
    load: f64,
    former: &'a [u16],
}

pub(super) fn successors(board: &Board<'_>) -> Successors {
    let input = board.input;
    let slots = board.slots.iter().zip(&input.slots).map(|(place, slot)| Item {
        owner: place.owner,
        load: place.whole_load(),
        former: &slot.successors,
    });
    let with_entry = (0..board.keys.len()).filter(|it| board.keys[*it].owner.is_some());
    let with_entry: Vec<usize> = with_entry.collect();
    let keys = with_entry.iter().map(|it| Item {
        owner: board.keys[*it].owner,
        load: board.keys[*it].load,
        former: &input.keys[*it].successors,
    });
    let items: Vec<Item<'_>> = slots.chain(keys).collect();
    let mut chosen = Spread::new(board).choose_all(&items);
    let key_successors = chosen.split_off(board.slots.len());
    let hashes = with_entry.iter().map(|it| input.keys[*it].key_hash);
    Successors { slots: chosen, keys: hashes.zip(key_successors).collect() }
}

/// What each member would inherit.
struct Spread<'a> {
    board: &'a Board<'a>,
    /// By lost owner, then by heir.
    of_member: Vec<Vec<f64>>,
    /// By the zone of the lost owners, as an index into `zones`, then by heir.
    of_zone: Vec<Vec<f64>>,
    zones: Vec<&'a Zone>,
}

impl<'a> Spread<'a> {
    fn new(board: &'a Board<'a>) -> Spread<'a> {
        let members = board.members.len();
        let mut zones: Vec<&Zone> = board.input.members.iter().map(|it| &it.zone).collect();
        zones.sort();
        zones.dedup();
        Spread {
            board,
            of_member: vec![vec![0.0; members]; members],
            of_zone: vec![vec![0.0; members]; zones.len()],
            zones,
        }
    }

    /// The heaviest items choose first; the result is in the order of the items.
    fn choose_all(mut self, items: &[Item<'_>]) -> Vec<Vec<u16>> {
        let mut order: Vec<usize> = (0..items.len()).collect();
        order.sort_by(|a, b| items[*b].load.total_cmp(&items[*a].load).then(a.cmp(b)));
        let mut chosen = vec![Vec::new(); items.len()];
        for index in order {
            chosen[index] = self.choose(&items[index]);
        }
        chosen
    }

    fn choose(&mut self, item: &Item<'_>) -> Vec<u16> {
        let Some(owner) = item.owner else { return Vec::new() };
        let mut chosen: Vec<u16> = Vec::new();
        while chosen.len() < SUCCESSOR_COUNT {
            let Some(next) = self.next(owner, item, &chosen) else { break };
            chosen.push(next);
        }
        if let Some(&first) = chosen.first() {
            let zone = self.zone_of(owner);
            self.of_member[usize::from(owner)][usize::from(first)] += item.load;
            self.of_zone[zone][usize::from(first)] += item.load;
        }
        chosen
    }

    fn next(&self, owner: u16, item: &Item<'_>, chosen: &[u16]) -> Option<u16> {
        let free = self.board.able().filter(|it| *it != owner && !chosen.contains(it));
        let free: Vec<u16> = free.collect();
        // The lower, the better: first a zone that neither the owner nor a chosen one is in, then
        // one that the owner is not in.
        let rank = |it: u16| {
            let zone = self.zone_of(it);
            let is_used = chosen.iter().any(|it| self.zone_of(*it) == zone);
            2 * u8::from(zone == self.zone_of(owner)) + u8::from(is_used)
        };
        let rank_min = free.iter().map(|it| rank(*it)).min()?;
        let fit: Vec<u16> = free.into_iter().filter(|it| rank(*it) == rank_min).collect();
        let cost = |it: u16| self.cost(owner, it, item.load);
        let best = fit.iter().copied().min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
        let former = item.former.iter().copied().find(|it| fit.contains(it));
        former.filter(|it| cost(*it) <= KEPT * cost(best)).or(Some(best))
    }

    /// The load over its fair share that `heir` would come to if `owner` were lost.
    fn cost(&self, owner: u16, heir: u16, load: f64) -> f64 {
        let inherited = self.of_member[usize::from(owner)][usize::from(heir)];
        let of_zone = self.of_zone[self.zone_of(owner)][usize::from(heir)] - inherited;
        self.board.relative(heir, load + inherited + ZONE_LOSS_SHARE * of_zone)
    }

    fn zone_of(&self, member: u16) -> usize {
        let zone = &self.board.input.members[usize::from(member)].zone;
        self.zones.binary_search(&zone).expect("every member's zone is listed")
    }
}
