//! Tests of the refusal of runs whose calls fail.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, uri::PathAndQuery};
use model::{ClassName, ConfigVersion, Fingerprint, NotRunReason, Outcome, RequestId, ServiceName};
use ownership::UpstreamState;

use crate::{
    request::{GateReply, GateRequest},
    snapshot::{MemberRoute, Routes},
};

use super::fakes::{TestAgent, document_with_limits, post};

const ON: &str = r#""refuses_failing_runs": true, "express_objective_ms_max": 10000"#;
const OFF: &str = r#""express_objective_ms_max": 10000"#;
const RUNS: u128 = 40;

async fn agent_with(limits: &str) -> TestAgent {
    let agent = TestAgent::start("a").await;
    publish(&agent, limits).await;
    agent
}

async fn publish(agent: &TestAgent, limits: &str) {
    let member = MemberRoute { instance: agent.own.clone(), state: UpstreamState::Ready };
    agent.publish(document_with_limits(limits), Routes::Any(vec![member])).await;
}

/// A request whose run fails once it is released.
pub(super) fn failing_run(id: u128, objective: Option<Duration>) -> GateRequest {
    GateRequest {
        service: ServiceName::new("svc").unwrap(),
        key_hash: None,
        id: RequestId(id),
        fingerprint: Fingerprint(id as u64),
        class: ClassName::new("lap").unwrap(),
        idempotent: true,
        remaining: Duration::from_secs(10),
        age: Duration::ZERO,
        time_at_ingress: Duration::ZERO,
        kind: Some(7),
        is_express: objective.is_some(),
        wants_return: false,
        objective,
        is_retry_after_refusal: false,
        upstream_attempts_max: 1,
        config_version: ConfigVersion(1),
        known_condition: None,
        method: Method::GET,
        path: PathAndQuery::from_static("/svc/hold-fail"),
        headers: Arc::new(HeaderMap::new()),
        body: Bytes::new(),
    }
}

/// Starts a run, makes a call of this kind through the agent while it runs, and lets the run fail.
async fn run_with_call(agent: &TestAgent, run: GateRequest, call: &str) -> GateReply {
    let call_id = run.id.0 + 1_000_000;
    let upstream = &agent.upstream;
    let calls = async {
        upstream.wait_started().await;
        agent.call(post(call, call_id)).await;
        upstream.wait_started().await;
        upstream.release.add_permits(1);
        pending::<()>().await;
    };
    tokio::select! {
        reply = agent.plane.gate().call(run) => reply,
        () = calls => unreachable!("the calls never end"),
    }
}

/// Returns the ids of the refused requests out of [`RUNS`].
async fn refused(agent: &TestAgent, first_id: u128, call: &str) -> Vec<RequestId> {
    let mut refused = Vec::new();
    for id in first_id..first_id + RUNS {
        match run_with_call(agent, failing_run(id, None), call).await {
            GateReply::Answered(_) => {}
            GateReply::Failed { outcome, retry_after } => {
                assert_eq!(outcome, Outcome::NotRun(NotRunReason::Overloaded));
                assert!(retry_after >= Some(Duration::from_secs(1)), "{retry_after:?}");
                refused.push(RequestId(id));
            }
            reply => panic!("{reply:?}"),
        }
    }
    refused
}

/// Guards against runs that start although their calls fail, and against untrue refusals.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_whose_calls_fail_are_refused_without_being_run() {
    let agent = agent_with(ON).await;
    let refused_runs = refused(&agent, 1, "lost").await;
    assert!(!refused_runs.is_empty());
    let ran = agent.upstream.ran();
    assert!(refused_runs.iter().all(|it| !ran.contains(it)), "a refused request ran");
    assert!(agent.plane.gate().run_refusal_probability() > 0.0);
    // An express request is never refused: the run that made it is nearly paid for.
    for id in 100..100 + RUNS {
        let express = failing_run(id, Some(Duration::from_secs(1)));
        let reply = run_with_call(&agent, express, "lost").await;
        assert!(matches!(reply, GateReply::Answered(_)), "{reply:?}");
    }
    // A restarted agent has forgotten the failures and lets the first runs start, then relearns them.
    let restarted = agent.restart().await;
    publish(&restarted, ON).await;
    assert_eq!(restarted.plane.gate().run_refusal_probability(), 0.0);
    let refused_runs = refused(&restarted, 201, "lost").await;
    assert!(refused_runs.first().is_some_and(|it| it.0 >= 206), "{refused_runs:?}");
}

/// Guards against refusals because of runs that fail by themselves while their calls are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_that_fail_for_other_reasons_refuse_nothing() {
    let agent = agent_with(ON).await;
    assert_eq!(refused(&agent, 1, "echo").await, []);
    // Without an objective up to which requests are express, no request is a call that can fail a run.
    let agent = agent_with(r#""refuses_failing_runs": true"#).await;
    assert_eq!(refused(&agent, 1, "lost").await, []);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_refused_with_the_part_off() {
    let agent = agent_with(OFF).await;
    assert_eq!(refused(&agent, 1, "lost").await, []);
    assert_eq!(agent.plane.gate().run_refusal_probability(), 0.0);
}
