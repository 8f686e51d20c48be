//! The table of documents in force and the routes of foreign services.

use model::{ConfigVersion, GroupId, Instance, ServiceName, SlotCount, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
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

/// Raises one document to each of the versions and checks the outcomes and the version in force.
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
fn only_later_versions_come_into_force() {
    use RaiseOutcome::{Raised, Unchanged};
    check(&[3, 5, 4, 5, 9], &[Raised, Raised, Unchanged, Unchanged, Raised]);
}

#[test]
fn an_invalid_document_leaves_the_former_version_in_force() {
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
        group: GroupId::FIRST,
        config: ConfigVersion(1),
        version,
        slot_count: SlotCount::new(8).unwrap(),
        members: members.iter().map(member).collect(),
        owners: Vec::new(),
    }
}

#[test]
fn routes_from_members_take_precedence() {
    let service = ServiceName::new("standings").unwrap();
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    let mut check = |from: &str, table, members| {
        foreign.update(&instance(from), table);
        assert_eq!(foreign.member_count(&service), members);
    };
    // An agent of another service forwards the table of a group without members.
    check("lapboard-1", routes(0, &[]), None);
    check("lapboard-1", routes(0, &["a"]), Some(1));
    // A table of the same version is only accepted from a member.
    check("lapboard-1", routes(0, &["a", "b"]), Some(1));
    check("a", routes(0, &["a", "b"]), Some(2));
    check("lapboard-1", routes(1, &["a", "b", "c"]), Some(3));
    check("a", routes(0, &["a"]), Some(3));
}

#[test]
fn the_platform_is_read_once_per_interval_while_stale_routes_are_reported() {
    let service = ServiceName::new("standings").unwrap();
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    foreign.update(&instance("a"), routes(1, &["a"]));
    // All known members are unavailable, and a stale route is reported every 100 ms.
    let reported_at = (0..30).map(|it| Timestamp::from_ms(1_000 + it * 100));
    let platform: Vec<u64> = reported_at
        .filter(|it| foreign.begin_query(*it, &service).is_some_and(|it| it.platform.is_some()))
        .map(|it| it.ns / 1_000_000)
        .collect();
    assert_eq!(platform, [1_300, 2_300, 3_300]);
}

#[test]
fn stale_reads_are_used_only_until_the_first_routes_are_known() {
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
    // The members stop answering. The known routes predate their loss, so a stale read could still
    // return the lost members.
    let later: Vec<_> = (4..9).filter_map(|it| begin_query(&mut foreign, it)).collect();
    assert_eq!(later.first(), Some(&Consistency::Latest));
    assert!(!foreign.has_responsive_members(&service));
}

/// Returns the members that are queried in consecutive seconds. `answers` says whether the one queried in a second
/// answers.
fn queried_members(members: &[&str], answers: impl Fn(u64) -> bool) -> Vec<String> {
    let service = ServiceName::new("standings").unwrap();
    let zone = instance("caller").zone;
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut foreign = ForeignRoutes::default();
    foreign.add(&service);
    foreign.update(&instance(members[0]), routes(1, members));
    let mut queried = Vec::new();
    for s in 1..=30 {
        let now = Timestamp::from_ms(1_000 * s);
        foreign.begin_query(now, &service).unwrap();
        let sources = foreign.sources(now, &service, &zone, &mut rng);
        queried.push(sources[0].name.as_str().to_owned());
        if answers(s) {
            foreign.update(&sources[0], routes(1, members));
        }
    }
    queried
}

#[test]
fn routes_are_queried_from_few_members_while_they_answer() {
    let names: Vec<String> = (0..200).map(|it| format!("standings-{it}")).collect();
    let members: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut queried = queried_members(&members, |_| true);
    queried.dedup();
    assert_eq!(queried.len(), 3, "each member is queried for ten seconds: {queried:?}");
    let mut queried = queried_members(&members, |s| s != 5);
    queried.dedup();
    assert_eq!(queried.len(), 4, "a member that does not answer is replaced: {queried:?}");
}
