//! Tests of the queue of an upstream that slows down, in simulated time.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{ClassName, Timestamp};
use settings::ServiceDocument;
use tokio::time::{sleep, timeout};
use traffic::{Completion, RouteIndex, SharedRateLimit, Timeliness};

use super::LimitReporter;
use crate::{
    clock::Clock,
    gate::admission_queue::{AdmissionDecision, AdmissionQueue},
    metrics::Metrics,
};

const SLOTS: u16 = 6;

fn document(learns_concurrency: bool) -> ServiceDocument {
    let text = r#"{
        "service": "svc", "team": "club", "keyed": false,
        "upstream": { "slots": 6, "warmup_ms": 0, "learns_concurrency": LEARNS },
        "classes": [{ "name": "lap" }],
        "routes": [{ "path": "/lap", "class": "lap", "idempotent": true, "deadline_ms": 1000 }]
    }"#;
    ServiceDocument::parse(&text.replace("LEARNS", &learns_concurrency.to_string())).unwrap()
}

fn start(
    clock: Clock,
    learns_concurrency: bool,
    former: Option<&AdmissionQueue>,
) -> Arc<AdmissionQueue> {
    let document = document(learns_concurrency);
    let metrics = Arc::new(Metrics::new(Arc::default()).unwrap());
    let reporter = LimitReporter::new(metrics, &document.team);
    let rate_limit = SharedRateLimit::new(clock.now());
    AdmissionQueue::start(clock, &document, SLOTS, rate_limit, 1, former, reporter)
}

/// Fills all open slots for a number of rounds. Each request takes the longer, the more run at a time. Returns the most
/// that ran at a time in the last round.
async fn saturate(clock: Clock, queue: &Arc<AdmissionQueue>, rounds: usize) -> usize {
    let class = ClassName::new("lap").unwrap();
    let mut admitted = Vec::new();
    for _ in 0..rounds {
        admitted.clear();
        let deadline = clock.now() + Duration::from_secs(60);
        while let AdmissionDecision::Admitted(permit) =
            queue.offer(&class, Some(RouteIndex(0)), deadline, Timeliness::InTime, None)
        {
            admitted.push(permit);
        }
        let slowdown = [1, 1, 1, 1, 3, 5, 8][admitted.len()];
        sleep(Duration::from_millis(10 * slowdown)).await;
        for permit in &mut admitted {
            permit.completion = Completion::Answered;
            permit.stated_waiting = Some(2);
        }
    }
    admitted.len()
}

/// What peers are told of the slots must be what the gate opens.
#[tokio::test(start_paused = true)]
async fn learned_limit_is_in_force_and_told_to_peers() {
    let clock = Clock::start();
    let queue = start(clock, true, None);
    assert_eq!(queue.learned_limit(), Some(6));
    assert!(saturate(clock, &queue, 400).await <= 4);
    assert_eq!(queue.learned_limit(), Some(3));
    let class = ClassName::new("lap").unwrap();
    assert!(queue.gate_load(&class, Some(0)).slots <= 4);
}

/// With the part off, all announced slots stay open whatever the service times and the stated load.
#[tokio::test(start_paused = true)]
async fn without_learning_all_slots_stay_open() {
    let clock = Clock::start();
    let former = start(clock, true, None);
    saturate(clock, &former, 400).await;
    let queue = start(clock, false, Some(&former));
    assert_eq!(saturate(clock, &queue, 400).await, usize::from(SLOTS));
    assert_eq!(queue.learned_limit(), None);
    let class = ClassName::new("lap").unwrap();
    assert_eq!(queue.gate_load(&class, Some(0)).slots, u32::from(SLOTS));
    assert!(clock.now() > Timestamp::ZERO + Duration::from_secs(10));
}

/// A request that waits when slots are held back must not wait longer than they are, whatever the running ones do.
#[tokio::test(start_paused = true)]
async fn slots_held_back_on_a_hung_upstream_are_given_out_again() {
    let clock = Clock::start();
    let queue = start(clock, true, None);
    let class = ClassName::new("lap").unwrap();
    let offer = || {
        let deadline = clock.now() + Duration::from_secs(60);
        queue.offer(&class, Some(RouteIndex(0)), deadline, Timeliness::InTime, None)
    };
    let mut running = VecDeque::new();
    let waiting = loop {
        let queued = match offer() {
            AdmissionDecision::Admitted(permit) => {
                running.push_back(permit);
                continue;
            }
            AdmissionDecision::Queued(queued) => queued,
            it => panic!("a request with a deadline of 60 s was refused: {it:?}"),
        };
        // Lets the expiry task compute its next time before slots are held back.
        sleep(Duration::from_millis(10)).await;
        let mut oldest = running.pop_front().unwrap();
        oldest.completion = Completion::Answered;
        drop(oldest);
        if queue.gate_load(&class, Some(0)).slots < u32::from(SLOTS) {
            break queued;
        }
        let AdmissionDecision::Admitted(permit) = queued.wait().await else {
            panic!("a free slot was not given out");
        };
        running.push_back(permit);
    };
    let decision = timeout(Duration::from_millis(5_100), waiting.wait()).await;
    assert!(matches!(decision, Ok(AdmissionDecision::Admitted(_))), "{decision:?}");
}
