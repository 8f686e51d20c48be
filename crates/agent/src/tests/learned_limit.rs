//! Tests of what happens to the learned limit when the document, the upstream or the agent changes.

use std::{sync::Arc, time::Instant};

use ownership::UpstreamState;
use settings::ServiceDocument;

use super::fakes::{TestAgent, WAIT_TIMEOUT, document_text, get, parsed};
use crate::snapshot::{MemberRoute, Routes};

fn document(queue_length_max: u32) -> Arc<ServiceDocument> {
    let learning = r#""warmup_ms": 0, "learns_concurrency": true"#;
    let length = format!(r#""queue_length_max": {queue_length_max}"#);
    let text = document_text(false).replace(r#""warmup_ms": 0"#, learning);
    parsed(&text.replace(r#""queue_length_max": 64"#, &length))
}

async fn publish(agent: &TestAgent, queue_length_max: u32) {
    let member = MemberRoute { instance: agent.own.clone(), state: UpstreamState::Ready };
    agent.publish(document(queue_length_max), Routes::Any(vec![member])).await;
}

/// A limit that outlives its upstream, or that a changed document undoes, gives callers less than the upstream can do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn learned_limit_lasts_as_long_as_the_incarnation_of_the_upstream() {
    let agent = TestAgent::start_members(1).await.pop().unwrap();
    assert_eq!(agent.plane.learned_limit(), None, "the part is off by default");
    publish(&agent, 64).await;
    assert_eq!(agent.plane.learned_limit(), Some(2));
    let started = Instant::now();
    let mut id = 1;
    while agent.plane.learned_limit() != Some(1) {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the upstream is best with one request at a time"
        );
        let calls = (id..id + 40).map(|id| agent.call(get("crowded", id)));
        futures_util::future::join_all(calls).await;
        id += 40;
    }
    publish(&agent, 65).await;
    assert_eq!(agent.plane.learned_limit(), Some(1));
    agent.set_upstream_id("i-2").await;
    assert_eq!(agent.plane.learned_limit(), Some(2), "a new incarnation may be faster");
    let again = agent.restart().await;
    publish(&again, 64).await;
    assert_eq!(again.plane.learned_limit(), Some(2), "a restarted agent measures again");
}
