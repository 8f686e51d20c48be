//! The table of documents in force.

use model::{ConfigVersion, Instance, ServiceName, SlotCount, Timestamp};
use wire::exchange::{RouteMember, RouteTable};

use crate::{
    control::{
        calls::Consistency,
        documents::{Documents, RaiseOutcome},
        foreign::ForeignRoutes,
    },
    tests::fakes,
};

pub(super) const DOCUMENT: &str = r#"{
    "service": "standings", "team": "club", "keyed": true,
    "routes": [{ "path": "/*", "class": "lap", "idempotent": true }],
    "classes": [{ "name": "lap", "weight": 1 }]
}"#;

fn check(versions: &[u64], expected: &[RaiseOutcome]) {
    let service = ServiceName::new("standings").unwrap();
    let mut documents = Documents::default();
    let mut highest = 0;
    for (version, expected) in versions.iter().zip(expected) {
        assert_eq!(documents.raise(&service, ConfigVersion(*version), DOCUMENT), *expected);
        highest = highest.max(*version);
        assert_eq!(documents.version(&service), ConfigVersion(highest));
    }
}

#[test]
fn versions_only_rise() {
    use RaiseOutcome::{Raised, Unchanged};
    check(&[3, 5, 4, 5, 9], &[Raised, Raised, Unchanged, Unchanged, Raised]);
}

#[test]
fn a_document_that_does_not_hold_leaves_the_former_in_force() {
    let service = ServiceName::new("standings").unwrap();
    let mut documents = Documents::default();
    documents.raise(&service, ConfigVersion(1), DOCUMENT);
    let broken = DOCUMENT.replace("standings", "other");
    assert_eq!(documents.raise(&service, ConfigVersion(2), &broken), RaiseOutcome::Invalid);
    assert_eq!(documents.raise(&service, ConfigVersion(3), "{"), RaiseOutcome::Invalid);
    assert_eq!(documents.version(&service), ConfigVersion(1));
}

fn instance(name: &str) -> Instance {
    fakes::instance(name, "127.0.0.1:1".parse().unwrap())
}

fn routes(version: u64, members: &[&str]) -> RouteTable {
    let member = |name: &&str| RouteMember { instance: instance(name), ready: true };
    RouteTable {
        service: ServiceName::new("standings").unwrap(),
        config: ConfigVersion(1),
        version,
        slot_count: SlotCount::new(8).unwrap(),
        members: members.iter().map(member).collect(),
        owners: Vec::new(),
    }
}

#[test]
fn routes_are_taken_from_members_first() {
    let service = ServiceName::new("standings").unwrap();
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    let mut check = |from: &str, table, members| {
        foreign.update(&instance(from), table);
        assert_eq!(foreign.member_count(&service), members);
    };
    // A group that nobody has joined yet, as passed on by an agent of another service.
    check("lapboard-1", routes(0, &[]), None);
    check("lapboard-1", routes(0, &["a"]), Some(1));
    // The same version from elsewhere is no news, from a member it is.
    check("lapboard-1", routes(0, &["a", "b"]), Some(1));
    check("a", routes(0, &["a", "b"]), Some(2));
    check("lapboard-1", routes(1, &["a", "b", "c"]), Some(3));
    check("a", routes(0, &["a"]), Some(3));
}

#[test]
fn the_platform_is_asked_while_routes_turn_out_stale_all_the_time() {
    let service = ServiceName::new("standings").unwrap();
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    foreign.update(&instance("a"), routes(1, &["a"]));
    // All members that are known have gone, and each tenth of a second a request says so.
    let asked = (0..30).map(|it| Timestamp::from_ms(1_000 + it * 100));
    let platform: Vec<u64> = asked
        .filter(|it| foreign.begin_query(*it, &service).is_some_and(|it| it.platform.is_some()))
        .map(|it| it.ns / 1_000_000)
        .collect();
    assert_eq!(platform, [1_300, 2_300, 3_300]);
}

#[test]
fn the_platform_is_asked_by_age_until_there_is_a_group() {
    let service = ServiceName::new("standings").unwrap();
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    let begin_query = |foreign: &mut ForeignRoutes, s: u64| {
        foreign.begin_query(Timestamp::from_ms(1_000 * s), &service).and_then(|it| it.platform)
    };
    assert_eq!(begin_query(&mut foreign, 1), Some(Consistency::Stale));
    assert!(!foreign.has_responsive_members(&service));
    foreign.update(&instance("a"), routes(1, &["a"]));
    assert!(foreign.has_responsive_members(&service));
    assert_eq!(begin_query(&mut foreign, 3), None);
    // Its members have fallen silent: what is known is from before a loss, and an older state would name it again.
    let later: Vec<_> = (4..9).filter_map(|it| begin_query(&mut foreign, it)).collect();
    assert_eq!(later.first(), Some(&Consistency::Latest));
    assert!(!foreign.has_responsive_members(&service));
}
