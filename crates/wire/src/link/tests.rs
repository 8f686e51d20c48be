use model::{Incarnation, Instance, InstanceName, Zone};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{HANDSHAKE_BYTES_MAX, Hello, LinkKind, PROTOCOL_VERSION, Welcome};
use crate::{decode, encode};

const FUZZ_SEED: u64 = 0x11;
const FUZZ_ROUNDS: usize = 20_000;

fn instance() -> Instance {
    Instance {
        name: InstanceName::new(&"n".repeat(63)).unwrap(),
        incarnation: Incarnation(u64::MAX),
        zone: Zone::new(&"z".repeat(63)).unwrap(),
        control: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap(),
        traffic: "127.0.0.1:2".parse().unwrap(),
    }
}

fn hello() -> Hello {
    let kind = LinkKind::Traffic;
    Hello { version: PROTOCOL_VERSION, kind, from: instance(), nonce: [255; 16] }
}

#[test]
fn the_longest_messages_are_within_the_limit() {
    let welcome = Welcome { from: instance(), nonce: [255; 16], proof: [255; 32] };
    assert_eq!(decode::<Hello>(&encode(&hello())).unwrap(), hello());
    assert!(encode(&hello()).len() <= HANDSHAKE_BYTES_MAX);
    assert!(encode(&welcome).len() <= HANDSHAKE_BYTES_MAX);
}

#[test]
fn mutated_hellos_do_not_panic_and_are_mostly_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(FUZZ_SEED);
    let whole = encode(&hello());
    let mut refused = 0;
    for _ in 0..FUZZ_ROUNDS {
        let mut bytes = whole.clone();
        let at = rng.random_range(0..bytes.len());
        bytes[at] = rng.random();
        bytes.truncate(rng.random_range(1..=bytes.len()));
        refused += usize::from(decode::<Hello>(&bytes).is_err());
    }
    assert!(refused > FUZZ_ROUNDS / 2, "only {refused} mutated messages were refused");
}
