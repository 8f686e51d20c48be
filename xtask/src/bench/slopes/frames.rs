//! Size and codec time of the frames of forwarded requests, by the size of the body.

use std::hint::black_box;

use bytes::Bytes;
use model::{ClassName, ConfigVersion, Fingerprint, RequestId, ServiceName, key_hash};
use wire::traffic::{CorrelationId, Frame, Header, Request};

use super::{Slope, fit::Point, group::thread_cpu, wire_size::HEADER_BYTES};

const BODY_SIZES_BYTES: [usize; 5] = [0, 1 << 10, 4 << 10, 16 << 10, 48 << 10];
const REPETITIONS: u32 = 4_000;

/// Measures the size of a frame and the time to encode and decode it.
pub(super) fn measure() -> Vec<Slope> {
    let frames: Vec<(usize, Frame)> =
        BODY_SIZES_BYTES.iter().map(|it| (*it, request(*it))).collect();
    let slope = |quantity, value: fn(&Frame) -> f64| {
        let points = frames.iter().map(|(size, it)| Point { x: *size as f64, y: value(it) });
        Slope::new("body_bytes", quantity, points.collect())
    };
    vec![
        slope("frame_bytes", |it| (it.to_bytes().len() as u64 + HEADER_BYTES) as f64),
        slope("encode_cpu_us", |it| cpu_us_each(|| drop(black_box(it.to_bytes())))),
        slope("decode_cpu_us", |it| {
            let bytes = it.to_bytes();
            cpu_us_each(|| drop(black_box(Frame::parse(&bytes))))
        }),
    ]
}

fn request(body_bytes: usize) -> Frame {
    let header =
        |name: &str, value: &str| Header(name.to_owned(), Bytes::copy_from_slice(value.as_bytes()));
    let body = Bytes::from(vec![0x5a; body_bytes]);
    Frame::Request(Box::new(Request {
        id: CorrelationId(u128::MAX / 3),
        service: ServiceName::new("standings").expect("a valid name"),
        key_hash: Some(key_hash(b"car-7")),
        request_id: RequestId(u128::MAX / 7),
        content: Fingerprint(1),
        class: ClassName::new("penalty").expect("a valid name"),
        idempotent: false,
        remaining_us: 1_000_000,
        age_us: 0,
        held_us: 0,
        kind: None,
        is_retry_after_refusal: false,
        is_express: false,
        wants_return: false,
        objective_us: None,
        config: ConfigVersion(42),
        known_condition: None,
        method: "POST".to_owned(),
        path: "/standings/cars/car-7/penalties".to_owned(),
        headers: vec![
            header("content-type", "application/json"),
            header("x-request-id", "55555555555555555555555555555555"),
            header("x-key", "car-7"),
            header("user-agent", "tablet/3.1"),
        ],
        body_len: body.len() as u64,
        body,
    }))
}

fn cpu_us_each(mut work: impl FnMut()) -> f64 {
    let before = thread_cpu();
    for _ in 0..REPETITIONS {
        work();
    }
    let spent = thread_cpu().saturating_sub(before);
    spent.as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}
