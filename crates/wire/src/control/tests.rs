//! Round trips, sizes and decoding of mutated control messages.

use std::sync::Arc;

use model::{ConfigVersion, Incarnation, Instance, KeyHash, Slot, Term, Token};
use ownership::{
    CapacityReport, Command, HeldKey, HeldSlot, Holding, KeyLoad, KindTime, LoadReport,
    MemberNumber, MemberStatus, Message, Renew, Renewed, Report, RouteKey, RouteMember,
    RouteMemberChange, RouteRange, Routes, SessionId, SlotLoad, UpstreamState,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{CONTROL_MESSAGE_MAX_BYTES, WireError, decode, encode};

const FUZZ_ROUNDS: u64 = 20_000;

fn instance(rng: &mut Pcg64Mcg) -> Instance {
    let port = rng.random();
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Instance {
        name: model::InstanceName::new(&format!("standings-{}", rng.random_range(0..99))).unwrap(),
        incarnation: Incarnation(rng.random()),
        zone: model::Zone::new("pitlane").unwrap(),
        control: address(port),
        traffic: address(port.wrapping_add(1)),
    }
}

fn token(rng: &mut Pcg64Mcg) -> Token {
    Token { term: Term(rng.random_range(0..99)), sequence: rng.random() }
}

fn random_list<T>(rng: &mut Pcg64Mcg, max: usize, make: impl Fn(&mut Pcg64Mcg) -> T) -> Vec<T> {
    (0..rng.random_range(0..=max)).map(|_| make(rng)).collect()
}

fn state(rng: &mut Pcg64Mcg) -> UpstreamState {
    use UpstreamState::{Draining, Lost, Ready, Starting};
    [Draining, Lost, Ready, Starting][rng.random_range(0..4)]
}

fn command(rng: &mut Pcg64Mcg) -> Command {
    let (slot, key_hash, token) = (Slot(rng.random()), KeyHash(rng.random()), token(rng));
    match rng.random_range(0..8) {
        0 => Command::Prepare { slot, token },
        1 => Command::Admit { slot, token },
        2 => Command::Close { slot, token, to: Some(instance(rng)) },
        3 => Command::AdmitKey { key_hash, token },
        4 => Command::ExcludeKey { key_hash, owner: instance(rng) },
        5 => Command::RemoveKey { key_hash },
        6 => Command::Clear { token },
        _ => Command::CloseKey { key_hash, token, to: None },
    }
}

fn report(rng: &mut Pcg64Mcg) -> Report {
    let (slot, key_hash, token) = (Slot(rng.random()), KeyHash(rng.random()), token(rng));
    match rng.random_range(0..4) {
        0 => Report::Prepared { slot, token },
        1 => Report::Closed { slot, token },
        2 => Report::Cleared { token },
        _ => Report::KeyClosed { key_hash, token },
    }
}

fn load(rng: &mut Pcg64Mcg) -> LoadReport {
    LoadReport {
        period_ms: rng.random(),
        total_us: rng.random(),
        slots: random_list(rng, 64, |rng| SlotLoad {
            slot: Slot(rng.random()),
            load_us: rng.random(),
            in_flight: rng.random(),
        }),
        keys: random_list(rng, 16, |rng| KeyLoad {
            key_hash: KeyHash(rng.random()),
            load_us: rng.random(),
        }),
        capacity: None,
    }
}

fn capacity(rng: &mut Pcg64Mcg) -> CapacityReport {
    CapacityReport {
        slots: rng.random(),
        kinds: random_list(rng, 4, |rng| KindTime {
            kind: rng.random(),
            count: rng.random(),
            total_us: rng.random(),
        }),
    }
}

fn holding(rng: &mut Pcg64Mcg) -> Holding {
    Holding {
        recently_lapsed: rng.random(),
        slots: random_list(rng, 9, |rng| HeldSlot {
            slot: Slot(rng.random()),
            token: token(rng),
            closing: rng.random(),
        }),
        keys: random_list(rng, 3, |rng| HeldKey {
            key_hash: KeyHash(rng.random()),
            token: token(rng),
            closing: rng.random(),
        }),
        excluded: random_list(rng, 3, |rng| KeyHash(rng.random())),
    }
}

fn renew(rng: &mut Pcg64Mcg) -> Renew {
    Renew {
        term: Term(rng.random()),
        session: SessionId(rng.random()),
        sequence: rng.random(),
        upstream: state(rng),
        leaving: rng.random(),
        config: ConfigVersion(rng.random()),
        applied: rng.random(),
        first_report: rng.random(),
        reports: random_list(rng, 5, report),
        holding: rng.random_bool(0.5).then(|| holding(rng)),
        load: rng.random_bool(0.5).then(|| load(rng)),
        capacity: rng.random_bool(0.5).then(|| capacity(rng)),
        route_version: rng.random(),
    }
}

fn routes(rng: &mut Pcg64Mcg) -> Routes {
    let index = |rng: &mut Pcg64Mcg| MemberNumber(rng.random_range(0..32));
    let status = |rng: &mut Pcg64Mcg| MemberStatus {
        state: state(rng),
        load_us_per_s: rng.random(),
        config: ConfigVersion(rng.random()),
    };
    Routes {
        since: rng.random(),
        version: rng.random(),
        removed: random_list(rng, 4, index),
        joined: random_list(rng, 32, |rng| RouteMember {
            number: index(rng),
            instance: instance(rng),
            status: status(rng),
        }),
        changed: random_list(rng, 8, |rng| RouteMemberChange {
            number: index(rng),
            status: status(rng),
        }),
        slots: random_list(rng, 20, |rng| {
            let first = rng.random_range(0..4096);
            RouteRange {
                first: Slot(first),
                last: Slot(rng.random_range(first..4096)),
                owner: rng.random_bool(0.8).then(|| index(rng)),
                token: token(rng),
                successors: random_list(rng, 3, index),
            }
        }),
        keys: random_list(rng, 3, |rng| RouteKey {
            key_hash: KeyHash(rng.random()),
            owner: Some(index(rng)),
            token: token(rng),
        }),
    }
}

fn renewed(rng: &mut Pcg64Mcg) -> Renewed {
    Renewed {
        term: Term(rng.random()),
        session: SessionId(rng.random()),
        sequence: rng.random(),
        lease_ms: rng.random(),
        last_report: rng.random(),
        first_command: rng.random(),
        commands: random_list(rng, 6, command),
        routes: rng.random_bool(0.5).then(|| Arc::new(routes(rng))),
        config: ConfigVersion(rng.random()),
        can_stop: rng.random(),
    }
}

fn message(rng: &mut Pcg64Mcg) -> Message {
    let (term, number) = (Term(rng.random()), rng.random());
    match rng.random_range(0..11) {
        0 => Message::CoordinatorQuery { term },
        1 => Message::CoordinatorReply { term, coordinator: Some(instance(rng)), silence_ms: 7 },
        2 => Message::Announce { term },
        3 => Message::Released { term },
        4 => Message::WitnessQuery { term, number },
        5 => Message::WitnessReply { term, number, has_read: number.is_multiple_of(2) },
        6 => Message::Renew(Box::new(renew(rng))),
        7 => Message::Renewed(Box::new(renewed(rng))),
        8 => Message::SessionEnded { term, session: SessionId(rng.random()) },
        9 => Message::NotCoordinator { term, coordinator: None },
        _ => Message::JoinRefused { term },
    }
}

#[derive(Debug, Clone)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Seed {
        Seed(u64::arbitrary(g))
    }
}

#[test]
fn encoded_messages_decode_to_the_same_value() {
    fn round_trips(seed: Seed) -> bool {
        let message = message(&mut Pcg64Mcg::seed_from_u64(seed.0));
        decode(&encode(&message)) == Ok(message)
    }
    QuickCheck::new().tests(2000).quickcheck(round_trips as fn(Seed) -> bool);
}

/// Decoding mutated bytes returns an error or a message that can be encoded and decoded again.
#[test]
fn mutated_bytes_are_refused_or_decoded_within_bounds() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut refused = 0;
    for _ in 0..FUZZ_ROUNDS {
        let mut bytes = encode(&message(&mut rng));
        for _ in 0..rng.random_range(1..8) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, rng.random()),
                _ => bytes[at] ^= 1 << rng.random_range(0..8),
            }
        }
        match decode(&bytes) {
            Ok(it) => assert_eq!(decode(&encode(&it)), Ok(it)),
            Err(_) => refused += 1,
        }
    }
    assert!(refused > 0);
}

#[test]
fn messages_and_lists_above_their_limits_are_refused() {
    let long = vec![0; CONTROL_MESSAGE_MAX_BYTES + 1];
    assert_eq!(decode(&long), Err(WireError::TooLong(long.len())));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let loads = vec![KeyLoad { key_hash: KeyHash(1), load_us: 1 }; 17];
    let load = LoadReport { keys: loads, ..LoadReport::default() };
    let renew = Renew { load: Some(load), ..renew(&mut rng) };
    let too_many = WireError::TooMany { list: "loads of keys", count: 17, max: 16 };
    assert_eq!(decode(&encode(&Message::Renew(Box::new(renew)))), Err(too_many));
}

#[test]
fn capacities_with_too_many_kinds_are_refused() {
    let kinds = vec![KindTime { kind: 1, count: 1, total_us: 1 }; 5];
    let capacity = Some(CapacityReport { slots: 7, kinds });
    let renew = Renew { capacity, ..renew(&mut Pcg64Mcg::seed_from_u64(1)) };
    let too_many = WireError::TooMany { list: "kinds of requests", count: 5, max: 4 };
    assert_eq!(decode(&encode(&Message::Renew(Box::new(renew)))), Err(too_many));
}

/// Renewal of the version before capacities were reported, without lists.
#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct EarlierRenew {
    t: u64,
    s: u32,
    q: u64,
    u: String,
    #[serde(default)]
    l: bool,
    #[serde(default)]
    c: u64,
    #[serde(default)]
    a: u64,
    #[serde(default)]
    f: u64,
    #[serde(default)]
    v: u64,
}

#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
enum EarlierMessage {
    #[serde(rename = "r")]
    Renew(EarlierRenew),
}

/// Guards against a renewal without a capacity that agents of an earlier version refuse, and against one of theirs that
/// this version refuses. They refuse unknown fields, so a member sends them capacities only as probes.
#[test]
fn renewals_without_a_capacity_are_those_of_an_earlier_version() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let plain =
        Renew { reports: Vec::new(), holding: None, load: None, capacity: None, ..renew(&mut rng) };
    let bytes = encode(&Message::Renew(Box::new(plain.clone())));
    let earlier: EarlierMessage = crate::codec::decode(&bytes).unwrap();
    assert_eq!(
        decode(&crate::codec::encode(&earlier)),
        Ok(Message::Renew(Box::new(plain.clone())))
    );
    let weighed = Renew { capacity: Some(capacity(&mut rng)), ..plain };
    let bytes = encode(&Message::Renew(Box::new(weighed)));
    assert!(crate::codec::decode::<EarlierMessage>(&bytes).is_err());
}

#[test]
fn a_usual_renewal_is_small() {
    let renew = Renew {
        term: Term(7),
        session: SessionId(2),
        sequence: 100_000,
        upstream: UpstreamState::Ready,
        leaving: false,
        config: ConfigVersion(12),
        applied: 40,
        first_report: 41,
        reports: Vec::new(),
        holding: None,
        load: None,
        capacity: None,
        route_version: 7 << 32,
    };
    let renewed = Renewed {
        term: Term(7),
        session: SessionId(2),
        sequence: 100_000,
        lease_ms: 750,
        last_report: 40,
        first_command: 41,
        commands: Vec::new(),
        routes: None,
        config: ConfigVersion(12),
        can_stop: false,
    };
    let renew = encode(&Message::Renew(Box::new(renew))).len();
    let renewed = encode(&Message::Renewed(Box::new(renewed))).len();
    assert!(renew <= 50 && renewed <= 50, "{renew} and {renewed} bytes");
}

#[test]
fn an_invalid_range_of_slots_is_refused() {
    for (first, last) in [(5, 4), (0, 4096)] {
        let range = RouteRange {
            first: Slot(first),
            last: Slot(last),
            owner: None,
            token: Token::default(),
            successors: Vec::new(),
        };
        let routes = Some(Arc::new(Routes { slots: vec![range], ..Routes::default() }));
        let renewed = Renewed { routes, ..renewed(&mut Pcg64Mcg::seed_from_u64(1)) };
        assert!(decode(&encode(&Message::Renewed(Box::new(renewed)))).is_err());
    }
}
