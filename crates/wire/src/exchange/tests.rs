//! Round trips and malformed messages of the exchange between control threads.

use bytes::Bytes;
use model::{
    ConfigVersion, GroupId, Incarnation, Instance, InstanceName, KeyHash, ObjectVersion,
    ServiceName, Slot, SlotCount, Zone,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::exchange::{
    Envelope, RouteMember, RouteOwner, RouteTable, StoreChange, StoreNews, StoreWatch,
};

fn service() -> ServiceName {
    ServiceName::new("standings").unwrap()
}

fn table(owner: u16) -> RouteTable {
    let instance = Instance {
        name: InstanceName::new("standings-1").unwrap(),
        incarnation: Incarnation(7),
        zone: Zone::new("pitlane").unwrap(),
        control: "127.0.0.1:7001".parse().unwrap(),
        traffic: "127.0.0.1:7002".parse().unwrap(),
    };
    RouteTable {
        service: service(),
        group: GroupId::FIRST,
        config: ConfigVersion(3),
        version: 9,
        slot_count: SlotCount::new(8).unwrap(),
        members: vec![RouteMember { instance, ready: true }],
        owners: vec![RouteOwner {
            slot: Slot(7),
            last: None,
            key_hash: Some(KeyHash(1)),
            owner: Some(owner),
            successors: vec![],
        }],
    }
}

fn messages() -> Vec<Envelope> {
    vec![
        Envelope::Group { service: service(), group: GroupId(0), payload: vec![0, 255, 3] },
        Envelope::FetchDocument { service: service() },
        Envelope::Document { service: service(), version: ConfigVersion(2), text: "{}".into() },
        Envelope::Versions(vec![(service(), ConfigVersion(2))]),
        Envelope::FetchRoutes { service: service(), group: GroupId::FIRST, known_version: 4 },
        Envelope::FetchRoutes { service: service(), group: GroupId(2), known_version: 4 },
        Envelope::Routes(table(0)),
        Envelope::Routes(RouteTable { group: GroupId(2), ..table(0) }),
        Envelope::RoutesUnchanged {
            service: service(),
            group: GroupId(1),
            version: 9,
            config: ConfigVersion(3),
        },
        Envelope::WatchStore { watches: vec![watch("config/")] },
        Envelope::StoreNews { age_ms: 20, news: vec![news(2)] },
        Envelope::StoreWatchRefused,
    ]
}

fn watch(prefix: &str) -> StoreWatch {
    StoreWatch { prefix: prefix.to_owned(), after: ObjectVersion::of(1, 12) }
}

fn news(changes: usize) -> StoreNews {
    let version = ObjectVersion::of(1, 13);
    let change = StoreChange {
        path: "config/main".to_owned(),
        version,
        body: Some(Bytes::from_static(b"{}")),
    };
    let changes = Some(vec![change; changes]);
    StoreNews { prefix: "config/".to_owned(), revision: version, changes }
}

fn check(envelope: Envelope) {
    assert_eq!(Envelope::decode(&envelope.clone().encode()), Ok(envelope));
}

#[test]
fn encoded_messages_decode_to_the_same_value() {
    messages().into_iter().for_each(check);
}

#[test]
fn a_table_with_the_index_of_a_missing_member_is_refused() {
    assert!(Envelope::decode(&Envelope::Routes(table(1)).encode()).is_err());
}

#[test]
fn watches_and_news_of_the_store_beyond_their_bounds_are_refused() {
    for envelope in [
        Envelope::WatchStore { watches: vec![watch("config/"); 17] },
        Envelope::WatchStore { watches: vec![watch(&"x".repeat(300))] },
        Envelope::StoreNews { age_ms: 0, news: vec![news(1); 17] },
        Envelope::StoreNews { age_ms: 0, news: vec![news(257)] },
    ] {
        assert!(Envelope::decode(&envelope.clone().encode()).is_err(), "{envelope:?}");
    }
}

#[test]
fn mutated_messages_never_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..20_000 {
        let messages = messages();
        let index = rng.random_range(0..messages.len());
        let mut bytes = messages[index].clone().encode();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        if let Ok(envelope) = Envelope::decode(&bytes) {
            check(envelope);
        }
    }
}
