//! Tests of the release of member numbers.

use model::{ConfigVersion, Incarnation, Instance, InstanceName, Term, Timestamp, Zone};

use super::members::{MemberRow, MemberTable, RELEASED_NUMBERS_MAX};
use crate::{MemberNumber, Renew, SessionId, UpstreamState, ctx::MemberId};

/// Creates the row of a ready member named after `number`.
fn row(number: usize) -> MemberRow {
    let instance = Instance {
        name: InstanceName::new(&format!("member-{number}")).unwrap(),
        incarnation: Incarnation(1),
        zone: Zone::new("pitlane").unwrap(),
        control: "127.0.0.1:1".parse().unwrap(),
        traffic: "127.0.0.1:2".parse().unwrap(),
    };
    let renew = Renew {
        term: Term(1),
        session: SessionId(1),
        sequence: 1,
        upstream: UpstreamState::Ready,
        leaving: false,
        config: ConfigVersion(1),
        applied: 0,
        first_report: 1,
        reports: Vec::new(),
        holding: None,
        load: None,
        capacity: None,
        route_version: 0,
    };
    MemberRow::new(&instance, &renew, Timestamp::ZERO)
}

/// Creates a table in which a member has joined and left in each route version from 1 to
/// `versions`, besides one member that stays.
fn table_with_releases(versions: usize) -> MemberTable {
    let mut table = MemberTable::default();
    let permanent = row(0);
    table.insert(MemberId::from(&permanent.instance), permanent, None, 0);
    for version in 1..=versions {
        let joining = row(version);
        let id = MemberId::from(&joining.instance);
        table.insert(id.clone(), joining, None, version as u64);
        let leaving = table.rows.remove(&id).unwrap();
        table.release_number(&leaving, version as u64);
    }
    table
}

#[test]
fn numbers_released_after_a_version_are_returned() {
    let table = table_with_releases(10);
    assert_eq!(table.numbers_released_since(10), Some(Vec::new()));
    assert_eq!(
        table.numbers_released_since(7),
        Some(vec![MemberNumber(1); 3]),
        "number 1 has been released three times"
    );
    assert_eq!(table.numbers_released_since(0).unwrap().len(), 10);
}

#[test]
fn releases_are_unknown_before_the_oldest_kept_one() {
    let discarded = 5;
    let table = table_with_releases(RELEASED_NUMBERS_MAX + discarded);
    for since in 0..discarded as u64 {
        assert_eq!(table.numbers_released_since(since), None, "since {since}");
    }
    let since = discarded as u64;
    assert_eq!(
        table.numbers_released_since(since).unwrap().len(),
        RELEASED_NUMBERS_MAX,
        "all releases after version {since} are kept"
    );
}
