//! Requests under which each upstream ends that begins to run them.

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
/// Ends after which a request is known for what it does, and sendings that may be under way by then.
const ENDS: usize = 3;
const MORE_RUNS_MAX: usize = 3;
/// Far more than the word of an end takes to all agents.
const WORD_SPREADS: Duration = Duration::from_millis(400);

/// A service whose upstreams are started again when they have ended.
struct Fleet {
    agents: Vec<TestAgent>,
    next_id: u128,
    /// Attempts of the request that ends upstreams.
    harmful: Vec<RequestId>,
}

impl Fleet {
    async fn start() -> Fleet {
        Fleet { agents: TestAgent::start_members(AGENTS).await, next_id: 0, harmful: Vec::new() }
    }

    async fn call(&mut self, at: usize, op: &str, body: &'static str) -> Answer {
        self.next_id += 1;
        let deadline = Duration::from_secs(2);
        let call = Call { body: body.into(), deadline, ..get(op, self.next_id) };
        self.agents[at].call(call).await
    }

    /// Another attempt of the same request, at some agent.
    async fn call_harmful(&mut self, at: usize) -> Answer {
        self.harmful.push(RequestId(self.next_id + 1));
        self.call(at, "end", "harmful").await
    }

    /// How often upstreams began to run that request.
    fn runs(&self) -> usize {
        let ran = self.agents.iter().flat_map(|it| it.upstream.ran());
        ran.filter(|it| self.harmful.contains(it)).count()
    }

    fn restart_all(&self) {
        self.agents.iter().for_each(|it| it.upstream.restart());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_under_which_upstreams_ended_is_not_sent_on_and_on() {
    let mut fleet = Fleet::start().await;
    while fleet.runs() < ENDS && fleet.harmful.len() < 20 {
        fleet.call_harmful(fleet.harmful.len() % AGENTS).await;
        sleep(WORD_SPREADS).await;
        fleet.restart_all();
    }
    let before = fleet.runs();
    for at in 0..10 {
        fleet.call_harmful(at % AGENTS).await;
        fleet.restart_all();
    }
    let more = fleet.runs() - before;
    assert!(more <= MORE_RUNS_MAX, "{more} more runs after {before} upstreams had ended");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantined_request_is_refused_as_not_run_and_not_asked_to_come_back() {
    let mut fleet = Fleet::start().await;
    for at in 0..AGENTS {
        fleet.call_harmful(at).await;
        sleep(WORD_SPREADS).await;
        fleet.restart_all();
    }
    for at in 0..AGENTS {
        let answer = fleet.call_harmful(at).await;
        check(&answer, 503, "not-run; reason=quarantined");
        assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_suspects_one_runs_at_a_time() {
    let fleet = TestAgent::start_members(1).await;
    let agent = &fleet[0];
    let held = |id, body: &'static str| Call { body: body.into(), ..get("hold", id) };
    let at_work = async {
        agent.upstream.wait_started().await;
        agent.upstream.wait_started().await;
        agent.upstream.crash();
        sleep(WORD_SPREADS).await;
        agent.upstream.restart();
    };
    let deadline = Duration::from_millis(300);
    let first = |id, body| agent.call(Call { deadline, ..held(id, body) });
    tokio::join!(first(1, "a"), first(2, "b"), at_work);
    let ran_before = agent.upstream.ran().len();
    let one_by_one = async {
        for suspects in 1..=2 {
            agent.upstream.wait_started().await;
            sleep(WORD_SPREADS).await;
            assert_eq!(agent.upstream.ran().len(), ran_before + suspects);
            agent.upstream.release.add_permits(1);
        }
    };
    let (a, b, ()) = tokio::join!(agent.call(held(3, "a")), agent.call(held(4, "b")), one_by_one);
    check(&a, 200, "answered");
    check(&b, 200, "answered");
}

/// Requests of all kinds come to any agent, also while upstreams are down; those that end none are served again.
async fn harmful_is_bounded_and_others_are_served(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::start().await;
    let mut since_known = None;
    for _ in 0..25 {
        let at = rng.random_range(0..AGENTS);
        match rng.random_range(0..5) {
            0..=1 => drop(fleet.call_harmful(at).await),
            2 => drop(fleet.call(at, "work", "sound").await),
            3 => fleet.restart_all(),
            _ => {
                let both = &fleet.agents;
                let harmful = get("end", 1 << 64 | u128::from(rng.random::<u64>()));
                fleet.harmful.push(RequestId(harmful.id));
                let harmful = Call { body: "harmful".into(), ..harmful };
                let sound = get("work", 1 << 65 | u128::from(rng.random::<u64>()));
                let sound = Call { body: "beside".into(), ..sound };
                tokio::join!(both[at].call(harmful), both[at].call(sound));
            }
        }
        if since_known.is_none() && fleet.runs() >= ENDS {
            sleep(WORD_SPREADS).await;
            since_known = Some(fleet.runs());
        }
    }
    let more = fleet.runs() - since_known.unwrap_or(fleet.runs());
    assert!(more <= MORE_RUNS_MAX, "seed {seed}: {more} more runs");
    fleet.restart_all();
    sleep(WORD_SPREADS).await;
    for (at, body) in [(0, "sound"), (1, "beside"), (2, "sound")] {
        let answer = fleet.call(at, "work", body).await;
        assert!(answer.status.is_success(), "seed {seed}: {body}: {answer:?}");
    }
}

#[test]
fn a_harmful_request_is_bounded_wherever_it_comes() {
    fn holds(seed: u64) -> bool {
        Runtime::new().unwrap().block_on(harmful_is_bounded_and_others_are_served(seed));
        true
    }
    QuickCheck::new().tests(SEEDS).quickcheck(holds as fn(u64) -> bool);
}
