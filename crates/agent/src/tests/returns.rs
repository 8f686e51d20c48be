//! Tests of return times: refused callers, and what becomes of their promises when agents or upstreams are lost.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures_util::{SinkExt, StreamExt};
use model::{Instance, NotRunReason, RequestId};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_tungstenite::tungstenite::Message;
use upstream::Answer;
use wire::{
    HeadDecoder, HeadEncoder,
    link::LinkKind,
    traffic::{Failed, FailureReason, Frame},
};

use crate::links::{LinkKey, handshake::LinkIdentity};

use super::fakes::{
    Call, SECRET, TestAgent, WAIT_TIMEOUT, check, get, instance, post, promising_document,
};

/// Requests of one upstream that leave no room for another: two that run, one that waits.
const FULL: u128 = 3;
/// The time after the promised one within which a return is surely recognized.
const RETURN_TIME: Duration = Duration::from_millis(80);
/// The number of rounds on a machine so slow that some returns come too late.
const ROUNDS_MAX: u128 = 40;
/// The least time that a gate without return times gives.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// Requests that fill an upstream until they are released.
struct Held(Arc<TestAgent>, Vec<JoinHandle<()>>);

impl Held {
    async fn fill(agent: &Arc<TestAgent>, first_id: u128) -> Held {
        // An answer reaches its caller before its slot is free.
        wait_until_admitted(agent, 0).await;
        let mut calls = Vec::new();
        for id in first_id..first_id + FULL {
            let caller = Arc::clone(agent);
            calls.push(tokio::spawn(async move {
                // Earlier than the deadlines of requests that arrive later, which are refused therefore.
                let deadline = Duration::from_secs(8);
                let answer = caller.call(Call { deadline, ..get("hold", id) }).await;
                check(&answer, 200, "answered");
            }));
            wait_until_admitted(agent, (id - first_id) as usize + 1).await;
        }
        Held(Arc::clone(agent), calls)
    }

    async fn release(self) {
        let Held(agent, calls) = self;
        agent.upstream.release.add_permits(FULL as usize);
        for it in calls {
            it.await.unwrap();
        }
    }
}

async fn wait_until_admitted(agent: &TestAgent, count: usize) {
    let reached = async {
        while agent.plane.admitted() != count {
            sleep(ms(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT, reached).await.expect("the upstream does not have the expected requests");
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn retry_after(answer: &Answer) -> Duration {
    check(answer, 503, "not-run; reason=overloaded");
    let after = answer.headers.get("retry-after-ms").expect("no time to return");
    Duration::from_millis(after.to_str().unwrap().parse().unwrap())
}

/// Starts an agent whose callers are sent to its own upstream only.
async fn start_alone(promises_returns: bool) -> Arc<TestAgent> {
    let agent = TestAgent::start("a").await;
    agent.route_to_members_under(promising_document(promises_returns), &[&agent.own]).await;
    Arc::new(agent)
}

/// Starts an agent for callers, and two whose upstreams it sends their requests to.
async fn start_two_targets() -> (TestAgent, [Arc<TestAgent>; 2]) {
    let ingress = TestAgent::start("ingress").await;
    let targets = [TestAgent::start("a").await, TestAgent::start("b").await].map(Arc::new);
    for it in &targets {
        it.route_to_members_under(promising_document(true), &[&it.own]).await;
    }
    let members = [&targets[0].own, &targets[1].own];
    ingress.route_to_members_under(promising_document(true), &members).await;
    // Opens the caller's connection, since returns are recognized by deadlines that do not vary with that time.
    check(&ingress.call(get("no/route", 1)).await, 404, "not-run; reason=bad-request");
    (ingress, targets)
}

/// A gate that did not promise the return would take it for a new request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_return_goes_to_the_instance_that_promised_it() {
    let (ingress, targets) = start_two_targets().await;
    // With two targets, a return that goes anywhere would find the right one in some rounds.
    let (mut round, mut conclusive) = (0, 0);
    while conclusive < 5 {
        round += 1;
        assert!(round <= ROUNDS_MAX, "too few promises, or returns in time");
        let first_id = 100 * round;
        let held =
            [Held::fill(&targets[0], first_id).await, Held::fill(&targets[1], first_id + 10).await];
        let after = retry_after(&ingress.call(get("echo", first_id + 20)).await);
        let refused_at = Instant::now();
        let promises: Vec<_> = targets.iter().map(|it| it.plane.promised_returns()).collect();
        for it in held {
            it.release().await;
        }
        sleep(after.saturating_sub(refused_at.elapsed())).await;
        check(&ingress.call(get("echo", first_id + 21)).await, 200, "answered");
        let returned_at = Instant::now();
        let unused: usize = targets.iter().map(|it| it.plane.promised_returns()).sum();
        // Without a pause, the requests of the rounds leave no room for promises.
        sleep(ms(300)).await;
        let promised: usize = promises.iter().sum();
        assert!(promised <= 1, "only the last gate promises: {promises:?}");
        if promised == 0 || returned_at > refused_at + after + RETURN_TIME {
            continue;
        }
        conclusive += 1;
        let promising = &targets[usize::from(promises[1] == 1)];
        let ran = promising.upstream.ran();
        assert_eq!(ran.last(), Some(&RequestId(first_id + 21)), "round {round}");
        assert_eq!(unused, 0, "the promise was not used");
    }
}

/// Starts two targets, of which the first has promised a return in a few hundred milliseconds and is full, and the
/// second is idle. Also returns the requests that fill the first, and when the refused request was sent.
async fn start_promising_and_idle() -> (TestAgent, [Arc<TestAgent>; 2], Held, Instant) {
    let (ingress, targets) = start_two_targets().await;
    // The measured service time determines when there is room.
    for (it, first_id) in targets.iter().zip([1, 11]) {
        let held = Held::fill(it, first_id).await;
        sleep(ms(150)).await;
        held.release().await;
    }
    // Requests of the first fraction of a second look like a load that leaves no room.
    sleep(ms(1200)).await;
    let [a, b] = targets;
    let held = [Held::fill(&a, 21).await, Held::fill(&b, 31).await];
    let sent_at = Instant::now();
    let after = retry_after(&ingress.call(get("echo", 41)).await);
    assert!((ms(100)..ms(2000)).contains(&after), "{after:?}");
    let [held_a, held_b] = held;
    match (a.plane.promised_returns(), b.plane.promised_returns()) {
        (1, 0) => {
            held_b.release().await;
            (ingress, [a, b], held_a, sent_at)
        }
        (0, 1) => {
            held_a.release().await;
            (ingress, [b, a], held_b, sent_at)
        }
        promised => panic!("one gate has to promise: {promised:?}"),
    }
}

/// Otherwise a caller would gain by ignoring its time: at another gate it would be a new request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_return_is_sent_to_no_other_instance() {
    let (ingress, [promising, idle], held, sent_at) = start_promising_and_idle().await;
    // A busy machine delays some calls by more than the tolerance by which returns are recognized. These are new requests.
    let mut refused = None;
    for (id, lost_ms) in [(42, 4), (43, 1), (44, 7), (45, 4), (46, 4)] {
        let call = get("echo", id);
        let deadline = call.deadline - sent_at.elapsed() - ms(lost_ms);
        let answer = ingress.call(Call { deadline, ..call }).await;
        if answer.status.as_u16() == 503 {
            refused = Some(RequestId(id));
            break;
        }
    }
    let refused = refused.expect("no early return was recognized");
    assert!(!idle.upstream.ran().contains(&refused));
    held.release().await;
    assert!(!promising.upstream.ran().contains(&refused));
}

/// As after a loss of the instance, or of the link to it as seen by control.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_return_is_served_elsewhere_if_the_promising_instance_is_gone() {
    let (ingress, [_promising, idle], held, _) = start_promising_and_idle().await;
    ingress.route_to_members_under(promising_document(true), &[&idle.own]).await;
    check(&ingress.call(get("echo", 42)).await, 200, "answered");
    assert!(idle.upstream.ran().contains(&RequestId(42)));
    held.release().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_promise_ends_with_the_upstream_and_the_return_is_served_as_a_new_request() {
    let agent = start_alone(true).await;
    let held = Held::fill(&agent, 1).await;
    retry_after(&agent.call(get("echo", 10)).await);
    assert_eq!(agent.plane.promised_returns(), 1);
    agent.set_upstream_id("the next incarnation").await;
    assert_eq!(agent.plane.promised_returns(), 0);
    check(&agent.call(get("echo", 11)).await, 200, "answered");
    held.release().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_gate_has_no_promises_and_serves_the_return_as_a_new_request() {
    let agent = start_alone(true).await;
    let held = Held::fill(&agent, 1).await;
    retry_after(&agent.call(get("echo", 10)).await);
    let restarted = agent.restart().await;
    restarted.route_to_members_under(promising_document(true), &[&restarted.own]).await;
    assert_eq!(restarted.plane.promised_returns(), 0);
    check(&restarted.call(get("echo", 11)).await, 200, "answered");
    held.release().await;
}

/// Without the part, the time is drawn between the expected wait and twice that, and nothing is remembered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_without_return_times_is_refused_as_before() {
    let agent = start_alone(false).await;
    let held = Held::fill(&agent, 1).await;
    for id in 10..30 {
        let after_ms = retry_after(&agent.call(get("echo", id)).await).as_millis() as u64;
        assert!((RETRY_AFTER_MIN_MS..=2 * RETRY_AFTER_MIN_MS).contains(&after_ms), "{after_ms} ms");
    }
    assert_eq!(agent.plane.promised_returns(), 0);
    held.release().await;
}

/// A peer that refuses each request for overload and records whether it wants a return.
pub(super) async fn start_refusing_peer(name: &str) -> (Instance, Arc<Mutex<Vec<bool>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = instance(name, listener.local_addr().unwrap());
    let identity =
        LinkIdentity { own: own.clone(), kind: LinkKind::Traffic, key: LinkKey::new(SECRET) };
    let wanted: Arc<Mutex<Vec<bool>>> = Arc::default();
    let recorded = Arc::clone(&wanted);
    tokio::spawn(async move {
        let (stream, address) = listener.accept().await.unwrap();
        let mut socket = identity.accept(address, stream).await.unwrap().socket;
        let (mut encoder, mut decoder) = (HeadEncoder::default(), HeadDecoder::default());
        while let Some(Ok(message)) = socket.next().await {
            let Message::Binary(bytes) = message else { continue };
            let message = decoder.decode(&bytes).unwrap();
            let Ok(Frame::Request(request)) = Frame::parse(&message) else { continue };
            recorded.lock().unwrap().push(request.wants_return);
            let reason = FailureReason::NotRun(NotRunReason::Overloaded);
            let failed = Failed { id: request.id, reason, retry_after_ms: Some(200), load: None };
            let bytes = Frame::Failed(failed).to_bytes();
            let encoded = encoder.encode(&bytes, bytes.len());
            socket.send(Message::Binary(encoded.into())).await.unwrap();
        }
    });
    (own, wanted)
}

/// Earlier refusals are not told to the caller, so a promise would keep room in vain; under its new id, a return of a
/// request that only one member may run goes to another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_last_attempt_of_a_request_that_any_member_may_run_wants_a_return() {
    for (promises_returns, call, expected) in
        [(true, get("echo", 1), 1), (true, post("echo", 1), 0), (false, get("echo", 1), 0)]
    {
        let ingress = TestAgent::start("ingress").await;
        let (a, wanted_of_a) = start_refusing_peer("a").await;
        let (b, wanted_of_b) = start_refusing_peer("b").await;
        ingress.route_to_members_under(promising_document(promises_returns), &[&a, &b]).await;
        assert_eq!(retry_after(&ingress.call(call).await), ms(200));
        let mut wanted = wanted_of_a.lock().unwrap().clone();
        wanted.extend(wanted_of_b.lock().unwrap().iter());
        assert!(wanted.len() >= 2, "both members, or the designated one twice: {wanted:?}");
        let returns = wanted.iter().filter(|it| **it).count();
        assert_eq!(returns, expected, "promises_returns: {promises_returns}");
    }
}
