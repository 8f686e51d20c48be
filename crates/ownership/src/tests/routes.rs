//! Updates of a member's route table.

use model::{
    ConfigVersion, Incarnation, Instance, InstanceName, KeyHash, Slot, SlotCount, Term, Token, Zone,
};

use crate::{
    MemberNumber, MemberStatus, RouteMember, RouteMemberChange, RouteRange, Routes, UpstreamState,
    member::{RouteTable, first_route_version},
};

const TERM: Term = Term(3);
const FIRST: MemberNumber = MemberNumber(0);
const SECOND: MemberNumber = MemberNumber(1);

fn instance(name: &str) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: "127.0.0.1:1".parse().unwrap(),
        traffic: "127.0.0.1:2".parse().unwrap(),
    }
}

fn status(state: UpstreamState) -> MemberStatus {
    MemberStatus { state, load_us_per_s: 0, config: ConfigVersion(1) }
}

fn joined(number: MemberNumber, name: &str) -> RouteMember {
    RouteMember { number, instance: instance(name), status: status(UpstreamState::Ready) }
}

fn range(first: u16, last: u16, owner: MemberNumber) -> RouteRange {
    RouteRange {
        first: Slot(first),
        last: Slot(last),
        owner: Some(owner),
        token: Token { term: TERM, sequence: 1 },
        successors: Vec::new(),
    }
}

/// Returns a table with two members that own one slot each.
fn table() -> RouteTable {
    let mut table = RouteTable::default();
    let complete = Routes {
        version: first_route_version(TERM) + 1,
        joined: vec![joined(FIRST, "a"), joined(SECOND, "b")],
        slots: vec![range(0, 0, FIRST), range(1, 1, SECOND)],
        ..Routes::default()
    };
    table.apply(TERM, &complete);
    table
}

fn names(table: &RouteTable) -> Vec<String> {
    table.members().map(|it| it.instance.name.as_str().to_owned()).collect()
}

fn owners(table: &RouteTable) -> Vec<String> {
    let slots = SlotCount::new(2).unwrap();
    let owners = table.owners(|it: KeyHash| slots.slot_of(it));
    owners.into_iter().filter_map(|it| it.owner).map(|it| it.name.as_str().to_owned()).collect()
}

#[test]
fn a_released_number_can_be_reused_by_a_later_member() {
    let mut table = table();
    let version = table.version;
    let changes = Routes {
        since: version,
        version: version + 2,
        removed: vec![SECOND],
        joined: vec![joined(SECOND, "c")],
        slots: vec![range(1, 1, SECOND)],
        ..Routes::default()
    };
    table.apply(TERM, &changes);
    assert_eq!(names(&table), ["a", "c"]);
    assert_eq!(owners(&table), ["a", "c"]);
}

#[test]
fn a_status_change_keeps_the_instance_of_a_member() {
    let mut table = table();
    let version = table.version;
    let change = RouteMemberChange { number: FIRST, status: status(UpstreamState::Draining) };
    let changes =
        Routes { since: version, version: version + 1, changed: vec![change], ..Routes::default() };
    table.apply(TERM, &changes);
    let states: Vec<_> = table.members().map(|it| it.state).collect();
    assert_eq!(states, [UpstreamState::Draining, UpstreamState::Ready]);
    assert_eq!(names(&table), ["a", "b"]);
}

#[test]
fn an_update_is_ignored_if_an_earlier_one_is_missing() {
    let mut table = table();
    let version = table.version;
    let changes = Routes {
        since: version + 1,
        version: version + 2,
        removed: vec![FIRST],
        ..Routes::default()
    };
    table.apply(TERM, &changes);
    assert_eq!((names(&table).len(), table.version), (2, version));
}

#[test]
fn the_complete_table_of_a_later_term_replaces_all_members() {
    let mut table = table();
    let complete = Routes {
        version: first_route_version(Term(4)) + 1,
        joined: vec![joined(FIRST, "d")],
        slots: vec![range(0, 1, FIRST)],
        ..Routes::default()
    };
    table.apply(Term(4), &complete);
    assert_eq!(names(&table), ["d"]);
    assert_eq!(owners(&table), ["d", "d"]);
}

/// Guards against changes of one term that are applied to the table of another term of the same round.
#[test]
fn after_a_switch_to_another_term_of_the_same_round_only_the_complete_table_applies() {
    let (term, other_term) = (Term(5 << 32 | 7), Term(5 << 32 | 8));
    let complete = |name| Routes {
        version: first_route_version(term) + 2,
        joined: vec![joined(FIRST, name)],
        slots: vec![range(0, 1, FIRST)],
        ..Routes::default()
    };
    let mut table = RouteTable::default();
    table.apply(term, &complete("a"));
    table.switch_term(other_term);
    assert!(table.version < first_route_version(other_term));
    let change = Routes {
        since: first_route_version(other_term) + 2,
        version: first_route_version(other_term) + 3,
        joined: vec![joined(SECOND, "b")],
        ..Routes::default()
    };
    table.apply(other_term, &change);
    assert_eq!(names(&table), ["a"]);
    table.apply(other_term, &complete("c"));
    assert_eq!(names(&table), ["c"]);
}
