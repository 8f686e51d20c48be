//! Tests of an upstream that is granted keys in the responses to its announcements.

use std::{sync::Arc, time::Duration};

use http::{StatusCode, request::Parts};
use model::{KeyRange, Slot};
use ownership::{GateCommand, UpstreamState};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};
use upstream::{AnnouncedKeys, AssignedKeys, GrantedKeys, ReleasedKeys};
use volo_http::{body::Body, response::Response};

use super::fakes::{Call, TestAgent, WAIT_TIMEOUT, check, get, token};
use crate::{
    ingress::{AnnounceProtocol, UpstreamMessage},
    report::{Announcement, Report},
};

/// The announced state of the upstream: ranges of held keys with the sequence of their token, and of released
/// keys with their handover token.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct AnnouncedState {
    sequence: u64,
    held: Vec<(u32, u32, u64)>,
    released: Vec<(u32, u32, String)>,
}

/// A protocol with JSON announcements at the callers' address.
pub(super) struct TestAnnounceProtocol;

impl AnnounceProtocol for TestAnnounceProtocol {
    fn is_announcement(&self, head: &Parts) -> bool {
        head.uri.path() == "/announce"
    }

    fn read(&self, _head: &Parts, body: &[u8]) -> Result<UpstreamMessage, (StatusCode, String)> {
        let state: AnnouncedState = serde_json::from_slice(body)
            .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))?;
        let announcement = Announcement {
            service: model::ServiceName::new("svc").unwrap(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            state: UpstreamState::Ready,
            slots: 2,
            checks_fence: false,
            upstream_id: None,
            incarnation_start_ms: None,
            sequence: state.sequence,
            cold_for: Duration::ZERO,
        };
        let held = state.held.into_iter().map(|(first, last, sequence)| GrantedKeys {
            keys: KeyRange { first, last },
            token: token(sequence),
        });
        let released = state.released.into_iter().map(|(first, last, handover)| ReleasedKeys {
            keys: KeyRange { first, last },
            handover: handover.into(),
        });
        let keys = AnnouncedKeys { held: held.collect(), released: released.collect() };
        Ok(UpstreamMessage::Announced { announcement, clock_ms: None, keys: Some(keys) })
    }

    fn acknowledge(&self, keys: Option<&AssignedKeys>) -> Response {
        let rows = keys.map(|keys| {
            let row = |it: &upstream::KeyGrant| {
                let KeyRange { first, last } = it.granted.keys;
                (first, last, it.granted.token.sequence)
            };
            keys.grants.iter().map(row).collect::<Vec<_>>()
        });
        Response::new(Body::from(serde_json::to_string(&rows).unwrap()))
    }

    fn ranges_max(&self) -> usize {
        20
    }
}

pub(super) type Rows = Vec<(u32, u32, u64)>;

/// Sends an announcement. Resolves to the keys to hold, or to `None` if the response lists none.
pub(super) fn announce(agent: &TestAgent, state: AnnouncedState) -> JoinHandle<Option<Rows>> {
    let address = agent.caller_address;
    tokio::spawn(async move {
        let body = serde_json::to_string(&state).unwrap();
        let head = "POST /announce HTTP/1.1\r\nhost: x\r\nconnection: close";
        let request = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        timeout(WAIT_TIMEOUT, stream.read_to_string(&mut answer)).await.unwrap().unwrap();
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        serde_json::from_str(body).unwrap()
    })
}

pub(super) fn holding(sequence: u64, held: Rows) -> AnnouncedState {
    AnnouncedState { sequence, held, ..AnnouncedState::default() }
}

/// Returns the state of an upstream that has released keys.
pub(super) fn releasing(
    sequence: u64,
    held: Rows,
    released_ranges: &[(u32, u32)],
) -> AnnouncedState {
    let released = released_ranges.iter().map(|(first, last)| (*first, *last, "warm".to_owned()));
    AnnouncedState { sequence, held, released: released.collect() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_granted_and_revoked_by_responses_to_announcements() {
    let mut agent =
        TestAgent::start_granted_by_announcements("a", Arc::new(TestAnnounceProtocol)).await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    let granted = announce(&agent, holding(1, Vec::new())).await.unwrap();
    assert_eq!(granted, Some(vec![(0, 63, 4)]));
    let call = Call { key: "40", ..get("echo", 1) };
    check(&agent.call(call).await, 200, "answered");

    // The response is delayed until the keys change, but only for a limited time.
    let open = announce(&agent, holding(2, vec![(0, 63, 4)]));
    tokio::time::sleep(Duration::from_millis(20)).await;
    agent.gate.apply(&[GateCommand::Close { slot: Slot(0), token: token(4), to: None }]);
    let mut granted = open.await.unwrap();
    if granted == Some(vec![(0, 63, 4)]) {
        granted = announce(&agent, holding(3, vec![(0, 63, 4)])).await.unwrap();
    }
    assert_eq!(granted, Some(vec![(16, 63, 4)]));

    let released = vec![(0, 15, "warm".to_owned())];
    let state = AnnouncedState { sequence: 4, held: vec![(16, 63, 4)], released };
    let response = announce(&agent, state);
    let closed = agent.report(|it| match it {
        Report::ClosedSlots(closed) => Some(closed.clone()),
        _ => None,
    });
    assert_eq!(closed.await, [(Slot(0), token(4))]);
    assert_eq!(
        response.await.unwrap(),
        Some(vec![(16, 63, 4)]),
        "the remaining keys are renewed in the response"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_or_repeated_announcement_gets_no_keys() {
    let agent =
        TestAgent::start_granted_by_announcements("a", Arc::new(TestAnnounceProtocol)).await;
    agent.route_to(&agent.own, 1).await;
    agent.grant_all(4);
    announce(&agent, holding(5, Vec::new())).await.unwrap();
    assert_eq!(
        announce(&agent, holding(5, Vec::new())).await.unwrap(),
        None,
        "the announcement is repeated"
    );
    assert_eq!(
        announce(&agent, holding(4, Vec::new())).await.unwrap(),
        None,
        "the announcement is outdated"
    );
    // An announcement without held keys is answered at once, since its grants have no effect yet.
    let granted = announce(&agent, holding(6, Vec::new())).await.unwrap();
    assert_eq!(granted, Some(vec![(0, 63, 4)]));
}
