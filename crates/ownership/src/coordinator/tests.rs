//! The numbers of members that are gone.

use model::{ConfigVersion, Incarnation, Instance, InstanceName, Term, Timestamp, Zone};

use super::members::{MemberRow, MemberTable, RELEASED_NUMBERS_MAX};
use crate::{MemberNumber, Renew, SessionId, UpstreamState, ctx::MemberId};

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
        route_version: 0,
    };
    MemberRow::new(&instance, &renew, Timestamp::ZERO)
}

/// A member joins and leaves in each route version from 1 on; one stays.
fn table(versions: usize) -> MemberTable {
    let mut table = MemberTable::default();
    let stays = row(0);
    table.insert(MemberId::from(&stays.instance), stays, None, 0);
    for version in 1..=versions {
        let comes = row(version);
        let id = MemberId::from(&comes.instance);
        table.insert(id.clone(), comes, None, version as u64);
        let goes = table.rows.remove(&id).unwrap();
        table.release_number(&goes, version as u64);
    }
    table
}

#[test]
fn whoever_follows_is_told_which_numbers_are_free() {
    let table = table(10);
    assert_eq!(table.numbers_released_since(10), Some(Vec::new()));
    assert_eq!(
        table.numbers_released_since(7),
        Some(vec![MemberNumber(1); 3]),
        "the same number, three times"
    );
    assert_eq!(table.numbers_released_since(0).unwrap().len(), 10);
}

#[test]
fn whoever_has_missed_more_than_is_remembered_is_told_all_anew() {
    let forgotten = 5;
    let table = table(RELEASED_NUMBERS_MAX + forgotten);
    for since in 0..forgotten as u64 {
        assert_eq!(table.numbers_released_since(since), None, "since {since}");
    }
    let since = forgotten as u64;
    assert_eq!(
        table.numbers_released_since(since).unwrap().len(),
        RELEASED_NUMBERS_MAX,
        "all after it are remembered"
    );
}
