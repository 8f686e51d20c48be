//! Tests of bodies collected within a budget.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use tokio::time::timeout;

use super::{BYTES_MAX, request};
use crate::{BodyBudget, BodyKind, CollectError, collect};

/// A body that consists of parts of equal length.
struct Parts {
    part_len: usize,
    count: usize,
    /// Length that the body announces.
    announced_len: Option<u64>,
    /// Number of parts that were read.
    read: usize,
}

fn parts(part_len: usize, count: usize) -> Parts {
    Parts { part_len, count, announced_len: None, read: 0 }
}

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let is_at_end = self.read == self.count;
        self.read += usize::from(!is_at_end);
        let part = Bytes::from(vec![b'x'; self.part_len]);
        Poll::Ready((!is_at_end).then_some(Ok(Frame::data(part))))
    }

    fn size_hint(&self) -> SizeHint {
        self.announced_len.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

async fn collect_request(body: Parts, budget: &BodyBudget) -> Result<Bytes, CollectError> {
    collect(body, 1 << 20, budget, BodyKind::Request).await
}

/// Guards against room that is free again while a slice of the body is still in use.
#[tokio::test]
async fn room_is_held_until_the_last_clone_is_dropped() {
    let budget = BodyBudget::new(BYTES_MAX);
    let body = Full::new(Bytes::from_static(b"0123456789"));
    let bytes = collect(body, 100, &budget, BodyKind::Request).await.unwrap();
    assert_eq!(budget.usage().bytes_held, 10);
    let slice = bytes.slice(3..5);
    drop(bytes);
    assert_eq!((&slice[..], budget.usage().bytes_held), (&b"34"[..], 10));
    drop(slice);
    assert_eq!(budget.usage().bytes_held, 0);
}

#[tokio::test]
async fn a_body_of_known_length_is_refused_before_it_is_read() {
    let budget = BodyBudget::new(BYTES_MAX);
    let _held = request(&budget, 500);
    let mut body = Parts { announced_len: Some(100), ..parts(10, 10) };
    let result = collect(Pin::new(&mut body), 1_000, &budget, BodyKind::Request).await;
    assert!(matches!(result, Err(CollectError::NoRoom(_))), "{result:?}");
    assert_eq!(body.read, 0);
}

#[tokio::test]
async fn a_body_of_unknown_length_is_refused_when_its_room_ends() {
    let budget = BodyBudget::new(1 << 20);
    let mut body = parts(1 << 10, usize::MAX);
    let result = collect(Pin::new(&mut body), 1 << 30, &budget, BodyKind::Request).await;
    assert!(matches!(result, Err(CollectError::NoRoom(_))), "{result:?}");
    assert!(body.read <= 1 << 10, "{} KB were read", body.read);
    let usage = budget.usage();
    assert_eq!((usage.bytes_held, usage.bytes_held_max), (0, 512 << 10));
}

#[tokio::test]
async fn a_body_without_end_ends_at_its_limit() {
    let budget = BodyBudget::unlimited();
    let result = collect_request(parts(1 << 10, usize::MAX), &budget).await;
    assert_eq!(result, Err(CollectError::TooLarge { bytes_max: 1 << 20 }));
    assert_eq!(budget.usage().bytes_held, 0);
}

#[tokio::test]
async fn a_body_up_to_its_limit_is_collected_unchanged() {
    let budget = BodyBudget::unlimited();
    for announced_len in [None, Some(1 << 20)] {
        let body = Parts { announced_len, ..parts(1 << 10, 1 << 10) };
        let bytes = collect_request(body, &budget).await.unwrap();
        assert!(bytes.len() == 1 << 20 && bytes.iter().all(|it| *it == b'x'));
        assert_eq!(budget.usage().bytes_held, 1 << 20);
    }
    assert!(collect_request(parts(0, 0), &budget).await.unwrap().is_empty());
}

/// The request has run, so its answer is not given up while its caller waits.
#[tokio::test(start_paused = true)]
async fn an_answer_is_read_on_when_there_is_room() {
    let budget = BodyBudget::new(BYTES_MAX);
    let held = request(&budget, 500);
    let mut body = Parts { announced_len: Some(300), ..parts(100, 3) };
    let reading = collect(Pin::new(&mut body), 1_000, &budget, BodyKind::Answer);
    assert!(timeout(Duration::from_secs(60), reading).await.is_err());
    assert_eq!(body.read, 0);
    let reading = collect(body, 1_000, &budget, BodyKind::Answer);
    let reading = timeout(Duration::from_secs(60), reading);
    let (bytes, ()) = tokio::join!(reading, async { drop(held) });
    assert_eq!(bytes.expect("not read on").unwrap().len(), 300);
}
