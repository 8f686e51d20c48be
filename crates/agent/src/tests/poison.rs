//! Tests of the quarantine for requests that crash each upstream that runs them.

use std::time::Duration;

use model::RequestId;
use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{runtime::Runtime, time::sleep};
use upstream::Answer;

use super::fakes::{Call, TestAgent, check, get};

const AGENTS: usize = 3;
const SEEDS: u64 = 8;
/// Number of crashes after which a request is quarantined, and the largest number of its further runs that may
/// be in flight at that time.
const CRASHES_UNTIL_KNOWN: usize = 3;
const FURTHER_RUNS_MAX: usize = 3;
/// Far longer than it takes until all agents know of a crash.
const REPORT_SPREAD_TIME: Duration = Duration::from_millis(400);

/// The members of a service, whose upstreams the test restarts after a crash.
struct Members {
    agents: Vec<TestAgent>,
    next_id: u128,
    /// Ids of the attempts of the request that crashes upstreams.
    harmful: Vec<RequestId>,
}

impl Members {
    async fn start() -> Members {
        Members { agents: TestAgent::start_members(AGENTS).await, next_id: 0, harmful: Vec::new() }
    }

    async fn call(&mut self, index: usize, op: &str, body: &'static str) -> Answer {
        self.next_id += 1;
        let deadline = Duration::from_secs(2);
        let call = Call { body: body.into(), deadline, ..get(op, self.next_id) };
        self.agents[index].call(call).await
    }

    /// Sends a further attempt of the harmful request through the agent with this index.
    async fn call_harmful(&mut self, index: usize) -> Answer {
        self.harmful.push(RequestId(self.next_id + 1));
        self.call(index, "end", "harmful").await
    }

    /// Returns how many times upstreams have started to run the harmful request.
    fn harmful_runs(&self) -> usize {
        let ran = self.agents.iter().flat_map(|it| it.upstream.ran());
        ran.filter(|it| self.harmful.contains(it)).count()
    }

    fn restart_all(&self) {
        self.agents.iter().for_each(|it| it.upstream.restart());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashed_upstreams_is_no_longer_sent() {
    let mut members = Members::start().await;
    while members.harmful_runs() < CRASHES_UNTIL_KNOWN && members.harmful.len() < 20 {
        members.call_harmful(members.harmful.len() % AGENTS).await;
        sleep(REPORT_SPREAD_TIME).await;
        members.restart_all();
    }
    let before = members.harmful_runs();
    for index in 0..10 {
        members.call_harmful(index % AGENTS).await;
        members.restart_all();
    }
    let further_runs = members.harmful_runs() - before;
    assert!(
        further_runs <= FURTHER_RUNS_MAX,
        "{further_runs} further runs after {before} upstreams had crashed"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantined_request_is_refused_as_not_run_without_retry_after() {
    let mut members = Members::start().await;
    for index in 0..AGENTS {
        members.call_harmful(index).await;
        sleep(REPORT_SPREAD_TIME).await;
        members.restart_all();
    }
    for index in 0..AGENTS {
        let answer = members.call_harmful(index).await;
        check(&answer, 503, "not-run; reason=quarantined");
        assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspects_run_one_at_a_time() {
    let members = TestAgent::start_members(1).await;
    let agent = &members[0];
    let hold = |id, body: &'static str| Call { body: body.into(), ..get("hold", id) };
    let crash_and_restart = async {
        agent.upstream.wait_started().await;
        agent.upstream.wait_started().await;
        agent.upstream.crash();
        sleep(REPORT_SPREAD_TIME).await;
        agent.upstream.restart();
    };
    let deadline = Duration::from_millis(300);
    let first = |id, body| agent.call(Call { deadline, ..hold(id, body) });
    tokio::join!(first(1, "a"), first(2, "b"), crash_and_restart);
    let ran_before = agent.upstream.ran().len();
    let one_by_one = async {
        for suspects in 1..=2 {
            agent.upstream.wait_started().await;
            sleep(REPORT_SPREAD_TIME).await;
            assert_eq!(agent.upstream.ran().len(), ran_before + suspects);
            agent.upstream.release.add_permits(1);
        }
    };
    let (a, b, ()) = tokio::join!(agent.call(hold(3, "a")), agent.call(hold(4, "b")), one_by_one);
    check(&a, 200, "answered");
    check(&b, 200, "answered");
}

/// Sends harmful and harmless requests through random agents, also while upstreams are down. Further runs of the
/// harmful request are bounded, and the harmless ones are served afterwards.
async fn harmful_is_bounded_and_others_are_served(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut members = Members::start().await;
    let mut runs_when_known = None;
    for _ in 0..25 {
        let index = rng.random_range(0..AGENTS);
        match rng.random_range(0..5) {
            0..=1 => drop(members.call_harmful(index).await),
            2 => drop(members.call(index, "work", "harmless").await),
            3 => members.restart_all(),
            _ => {
                let agents = &members.agents;
                let harmful = get("end", 1 << 64 | u128::from(rng.random::<u64>()));
                members.harmful.push(RequestId(harmful.id));
                let harmful = Call { body: "harmful".into(), ..harmful };
                let harmless = get("work", 1 << 65 | u128::from(rng.random::<u64>()));
                let harmless = Call { body: "concurrent".into(), ..harmless };
                tokio::join!(agents[index].call(harmful), agents[index].call(harmless));
            }
        }
        if runs_when_known.is_none() && members.harmful_runs() >= CRASHES_UNTIL_KNOWN {
            sleep(REPORT_SPREAD_TIME).await;
            runs_when_known = Some(members.harmful_runs());
        }
    }
    let further_runs = members.harmful_runs() - runs_when_known.unwrap_or(members.harmful_runs());
    assert!(further_runs <= FURTHER_RUNS_MAX, "seed {seed}: {further_runs} further runs");
    members.restart_all();
    sleep(REPORT_SPREAD_TIME).await;
    for (index, body) in [(0, "harmless"), (1, "concurrent"), (2, "harmless")] {
        let answer = members.call(index, "work", body).await;
        assert!(answer.status.is_success(), "seed {seed}: {body}: {answer:?}");
    }
}

#[test]
fn runs_of_a_harmful_request_are_bounded_at_any_agent() {
    fn property(seed: u64) -> bool {
        Runtime::new().unwrap().block_on(harmful_is_bounded_and_others_are_served(seed));
        true
    }
    QuickCheck::new().tests(SEEDS).quickcheck(property as fn(u64) -> bool);
}
