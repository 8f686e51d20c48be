use bytes::Bytes;
use model::{ClassName, ConfigVersion, Fingerprint, KeyHash, RequestId, RequestRate, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Answer, CHUNK_BYTES_MAX, Chunk, CorrelationId, Frame, GateLoad, Header, KnownCondition,
    Request, UpstreamCondition,
};
use crate::{decode, encode};

const FUZZ_SEED: u64 = 0x5eed;
const FUZZ_ROUNDS: usize = 20_000;

fn request() -> Request {
    Request {
        id: CorrelationId(u128::MAX - 5),
        service: ServiceName::new("standings").unwrap(),
        key_hash: Some(KeyHash(u64::MAX)),
        request_id: RequestId(7),
        content: Fingerprint(u64::MAX),
        class: ClassName::new("lap").unwrap(),
        idempotent: false,
        remaining_us: 1_000_000,
        age_us: 0,
        held_us: 0,
        kind: None,
        objective_us: None,
        is_retry_after_refusal: false,
        is_express: true,
        wants_return: true,
        config: ConfigVersion(3),
        known_condition: Some(KnownCondition { condition: condition(), age_us: 7 }),
        method: "POST".to_owned(),
        path: "/standings/lap?x=1".to_owned(),
        headers: vec![Header("x-key".to_owned(), Bytes::from_static(b"\xff\x00"))],
        body_len: 4,
        body: Bytes::from_static(b"body"),
    }
}

fn condition() -> UpstreamCondition {
    let limit = RequestRate::from_per_s(12.3);
    UpstreamCondition { incarnation: Some(u64::MAX), limit, is_leaving: true }
}

fn answer(body_len: u64, body: Vec<u8>) -> Frame {
    let id = CorrelationId(1);
    Frame::Answer(Answer {
        id,
        load: None,
        status: 200,
        headers: Vec::new(),
        body_len,
        body: body.into(),
    })
}

fn check_refused(frame: &Frame) {
    assert!(Frame::parse(&frame.to_bytes()).is_err(), "{frame:?}");
}

#[test]
fn encoded_frames_decode_to_the_same_value() {
    for frame in [
        Frame::Request(Box::new(request())),
        answer(9, b"part".to_vec()),
        Frame::Cancel(CorrelationId(0)),
        Frame::Retire,
        Frame::Chunk(Chunk { id: CorrelationId(2), offset: 4, data: vec![1; 5].into() }),
    ] {
        assert_eq!(Frame::parse(&frame.to_bytes()).unwrap(), frame);
    }
}

/// Agents of an earlier version neither send the field nor expect it.
#[test]
fn a_request_that_wants_no_return_is_encoded_without_the_field() {
    let name = b"wants_return";
    let request = Request { wants_return: false, ..request() };
    let bytes = encode(&request);
    assert!(!bytes.windows(name.len()).any(|it| it == name));
    assert_eq!(decode::<Request>(&bytes).unwrap(), request);
}

/// Links compress the part of a frame before the body.
#[test]
fn encoded_frames_end_with_the_body() {
    let data = Bytes::from_static(b"rest");
    for (frame, body) in [
        (Frame::Request(Box::new(request())), b"body".as_slice()),
        (answer(9, b"part".to_vec()), b"part"),
        (Frame::Chunk(Chunk { id: CorrelationId(2), offset: 4, data }), b"rest"),
        (Frame::Cancel(CorrelationId(0)), b""),
    ] {
        assert_eq!(frame.body_part_len(), body.len());
        assert!(frame.to_bytes().ends_with(body), "{frame:?}");
    }
}

#[test]
fn inconsistent_lengths_are_refused() {
    check_refused(&answer(3, b"four".to_vec()));
    check_refused(&answer(1 << 40, Vec::new()));
    check_refused(&answer(1 << 20, vec![0; CHUNK_BYTES_MAX + 1]));
    let empty = Chunk { id: CorrelationId(2), offset: 4, data: Bytes::new() };
    check_refused(&Frame::Chunk(empty));
}

#[test]
fn trailing_bytes_and_unknown_frames_are_refused() {
    let mut bytes = Frame::Cancel(CorrelationId(0)).to_bytes();
    bytes.push(0);
    assert!(Frame::parse(&bytes).is_err());
    assert!(Frame::parse(&encode(&("Surprise", 1))).is_err());
    assert!(Frame::parse(&[]).is_err());
}

#[test]
fn mutated_frames_do_not_panic_and_are_mostly_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(FUZZ_SEED);
    let whole = Frame::Request(Box::new(request())).to_bytes();
    let mut refused = 0;
    for _ in 0..FUZZ_ROUNDS {
        let mut bytes = whole.clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(1..=bytes.len()));
        refused += usize::from(Frame::parse(&bytes).is_err());
    }
    assert!(refused > FUZZ_ROUNDS / 2, "only {refused} mutated frames were refused");
}

#[test]
fn random_bytes_do_not_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(FUZZ_SEED);
    for _ in 0..FUZZ_ROUNDS {
        let len = rng.random_range(0..64);
        let bytes: Vec<u8> = (0..len).map(|_| rng.random()).collect();
        drop(Frame::parse(&bytes));
    }
}

/// Guards against agents of an earlier version, which neither send the mark of an express request nor know it.
#[test]
fn mark_of_express_requests_is_sent_only_if_it_is_set() {
    let with = Frame::Request(Box::new(request())).to_bytes();
    let without = Request { is_express: false, ..request() };
    let without = Frame::Request(Box::new(without)).to_bytes();
    let contains = |bytes: &[u8]| bytes.windows(10).any(|it| it == b"is_express");
    assert!(contains(&with) && !contains(&without));
    let Frame::Request(parsed) = Frame::parse(&without).unwrap() else { panic!("not a request") };
    assert!(!parsed.is_express);
}

#[test]
fn conditions_are_sent_only_if_there_is_one() {
    let with = Frame::Request(Box::new(request())).to_bytes();
    let without = Request { known_condition: None, ..request() };
    let without = Frame::Request(Box::new(without)).to_bytes();
    let contains = |bytes: &[u8]| bytes.windows(15).any(|it| it == b"known_condition");
    assert!(contains(&with) && !contains(&without));
    let load = GateLoad {
        running: 1,
        queued: 2,
        slots: 3,
        service_us: 4,
        kind_us: None,
        condition: Some(condition()),
    };
    for load in [load, GateLoad { condition: None, ..load }] {
        let decoded: GateLoad = decode(&encode(&load)).unwrap();
        assert_eq!(decoded, load);
    }
}
