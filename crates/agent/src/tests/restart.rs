//! Tests of an agent that restarts while its upstream, which enforces leases, keeps running.

use model::KeyRange;
use ownership::GateCommand;
use upstream::GrantedKeys;

use crate::report::Report;

use super::fakes::{KeyCall, TestAgent, token};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_an_earlier_incarnation_are_released_first_and_granted_with_their_handover_token() {
    let mut agent = TestAgent::start_leased("a").await;
    agent.route_to(&agent.own, 1).await;
    agent.gate.apply(&[GateCommand::Clear { token: token(3) }]);
    agent.grant_all(4);
    let cleared = agent.report(|it| match it {
        Report::Cleared { token } => Some(*token),
        _ => None,
    });
    assert_eq!(cleared.await, token(3));
    let has_two_calls = || agent.upstream.key_calls.lock().unwrap().len() >= 2;
    while !has_two_calls() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let all =
        |sequence| GrantedKeys { keys: KeyRange { first: 0, last: 63 }, token: token(sequence) };
    let calls = agent.upstream.key_calls.lock().unwrap().clone();
    let expected = [
        KeyCall::Release(all(3)),
        KeyCall::Grant { granted: all(4), handover: Some("warm".into()) },
    ];
    assert_eq!(calls[..2], expected);
}
