//! Tests of answers and trials that agents share.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use model::{Fingerprint, InstanceName};
use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use settings::{TRIALS_PATH, TrialsObject};
use tokio::time::{sleep, timeout};
use traffic::{QuarantineStatus, TRIALS_MAX, TrialEnd};

use super::{
    SharedQuarantine, Trial,
    trials::{ENTRIES_MAX, TRIAL_QUIET_TIME},
};
use crate::control::tests::platform::FakeStore;

const TIMEOUT: Duration = Duration::from_secs(300);
const POLL: Duration = Duration::from_millis(100);
const RUN_TIME: Duration = Duration::from_secs(2);
const CLAIM_TIME: Duration = Duration::from_millis(500);
/// Longer than it takes until all agents know of a write.
const SPREAD_TIME: Duration = Duration::from_secs(1);
const PAGE: Fingerprint = Fingerprint(u64::MAX);
const HARMFUL: Fingerprint = Fingerprint(u64::MAX - 1);

fn start(store: &Arc<FakeStore>, name: &str) -> Arc<SharedQuarantine> {
    SharedQuarantine::start(Arc::clone(store) as _, InstanceName::new(name).unwrap())
}

async fn start_all(store: &Arc<FakeStore>) -> Vec<Arc<SharedQuarantine>> {
    let agents = ["a", "b", "c"].iter().map(|it| start(store, it)).collect();
    sleep(SPREAD_TIME).await;
    agents
}

async fn try_once(agent: &Arc<SharedQuarantine>, request: Fingerprint) -> Option<Trial> {
    match agent.may_claim_trial(request) {
        true => agent.claim_trial(request, RUN_TIME, CLAIM_TIME).await,
        false => None,
    }
}

/// Waits for the next trial that any of the agents may make. `None` if there is none for a long time.
async fn next_trial(agents: &[Arc<SharedQuarantine>], request: Fingerprint) -> Option<Trial> {
    let waiting = async {
        loop {
            for agent in agents {
                if let Some(trial) = try_once(agent, request).await {
                    return trial;
                }
            }
            sleep(POLL).await;
        }
    };
    timeout(TIMEOUT, waiting).await.ok()
}

async fn wait_until(agents: &[Arc<SharedQuarantine>], request: Fingerprint, is: QuarantineStatus) {
    let waiting = async {
        while agents.iter().any(|it| it.status(request) != is) {
            sleep(POLL).await;
        }
    };
    let seen: Vec<_> = agents.iter().map(|it| it.status(request)).collect();
    assert!(timeout(TIMEOUT, waiting).await.is_ok(), "expected {is:?}, initially {seen:?}");
}

fn stored(store: &FakeStore) -> TrialsObject {
    serde_json::from_str(&store.text(TRIALS_PATH).expect("the trials must be stored")).unwrap()
}

/// Guards against a request that one agent knows to be harmless and all others refuse for good.
#[tokio::test(start_paused = true)]
async fn an_answer_at_one_agent_clears_a_suspect_at_all_also_after_a_restart() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE, HARMFUL]);
    sleep(SPREAD_TIME).await;
    agents[1].share_answer(PAGE);
    sleep(SPREAD_TIME).await;
    // Known nowhere but at the agents that are gone.
    drop(agents);
    let agents = start_all(&store).await;
    agents[2].record_crash(vec![PAGE, HARMFUL]);
    wait_until(&agents, HARMFUL, QuarantineStatus::Quarantined).await;
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
    assert_eq!(store.text("ends/c").unwrap().matches(&PAGE.to_string()).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_from_before_the_crash_is_shared_with_the_next_answer() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].share_answer(PAGE);
    sleep(SPREAD_TIME).await;
    assert_eq!(store.text(TRIALS_PATH), None, "an answer is written only after a crash");
    agents[1].record_crash(vec![PAGE]);
    agents[2].record_crash(vec![PAGE]);
    wait_until(&agents[1..], PAGE, QuarantineStatus::Quarantined).await;
    agents[0].share_answer(PAGE);
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
}

#[tokio::test(start_paused = true)]
async fn answers_of_many_agents_at_once_are_written_once() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    sleep(SPREAD_TIME).await;
    agents.iter().for_each(|it| it.share_answer(PAGE));
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
    sleep(SPREAD_TIME).await;
    assert_eq!(stored(&store).requests.len(), 1);
}

/// The page and the harmful request were in flight in the same crashes.
#[tokio::test(start_paused = true)]
async fn trials_clear_the_harmless_of_two_requests_and_stop_the_harmful_one() {
    let store = Arc::new(FakeStore::new());
    let mut agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE, HARMFUL]);
    agents[1].record_crash(vec![PAGE, HARMFUL]);
    wait_until(&agents, PAGE, QuarantineStatus::Quarantined).await;
    let trial = next_trial(&agents, PAGE).await.expect("the page must be tried");
    agents[0].share_answer(PAGE);
    trial.end_answered();
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
    let mut trials = 0;
    while let Some(trial) = next_trial(&agents, HARMFUL).await {
        trials += 1;
        assert!(trials <= TRIALS_MAX, "trials must be bounded");
        agents[0].record_crash(vec![HARMFUL]);
        trial.end(TrialEnd::Lost);
        sleep(SPREAD_TIME).await;
        drop(agents);
        agents = start_all(&store).await;
    }
    assert_eq!(trials, TRIALS_MAX, "all trials, and none more after restarts");
    wait_until(&agents, HARMFUL, QuarantineStatus::Quarantined).await;
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
}

#[tokio::test(start_paused = true)]
async fn two_agents_do_not_try_a_request_at_the_same_time() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    agents[1].record_crash(vec![PAGE]);
    wait_until(&agents, PAGE, QuarantineStatus::Quarantined).await;
    sleep(TRIAL_QUIET_TIME).await;
    let (a, b) = tokio::join!(try_once(&agents[0], PAGE), try_once(&agents[1], PAGE));
    assert_eq!(usize::from(a.is_some()) + usize::from(b.is_some()), 1, "{a:?} {b:?}");
    assert!(try_once(&agents[2], PAGE).await.is_none());
    assert_eq!(stored(&store).requests[0].begun, 1);
}

#[tokio::test(start_paused = true)]
async fn a_trial_waits_until_no_crash_was_reported_for_some_time() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    agents[1].record_crash(vec![PAGE]);
    sleep(TRIAL_QUIET_TIME / 2).await;
    agents[2].record_crash(vec![PAGE]);
    sleep(TRIAL_QUIET_TIME * 3 / 4).await;
    assert!(!agents.iter().any(|it| it.may_claim_trial(PAGE)));
    assert!(agents.iter().all(|it| it.refuses_at_ingress(PAGE)));
    sleep(TRIAL_QUIET_TIME).await;
    assert!(agents.iter().all(|it| it.may_claim_trial(PAGE)));
    assert!(agents.iter().all(|it| !it.refuses_at_ingress(PAGE)));
    assert!(agents.iter().all(|it| it.refuses_at_ingress(PAGE)), "only some are passed on");
}

/// Guards against a claim that nobody can take over because its agent was killed.
#[tokio::test(start_paused = true)]
async fn a_claim_of_an_agent_that_was_killed_counts_as_a_crash_and_ends() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    agents[1].record_crash(vec![PAGE]);
    for trials in 1..=TRIALS_MAX {
        let trial = next_trial(&agents, PAGE).await;
        std::mem::forget(trial.expect("a trial"));
        assert_eq!(stored(&store).requests[0].begun, trials);
        sleep(RUN_TIME / 2).await;
        assert!(try_once(&agents[2], PAGE).await.is_none(), "the claim is still held");
    }
    assert!(next_trial(&agents, PAGE).await.is_none());
}

#[tokio::test(start_paused = true)]
async fn no_trial_is_made_while_the_store_is_away() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    agents[1].record_crash(vec![PAGE]);
    wait_until(&agents, PAGE, QuarantineStatus::Quarantined).await;
    store.is_down.store(true, Ordering::SeqCst);
    assert!(next_trial(&agents, PAGE).await.is_none());
    store.is_down.store(false, Ordering::SeqCst);
    let trial = next_trial(&agents, PAGE).await.expect("the store is back");
    store.is_down.store(true, Ordering::SeqCst);
    agents[1].share_answer(PAGE);
    trial.end_answered();
    sleep(SPREAD_TIME).await;
    assert_eq!(agents[2].status(PAGE), QuarantineStatus::Quarantined);
    store.is_down.store(false, Ordering::SeqCst);
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
}

/// Guards against trials that are used up by requests whose callers left before the answer.
#[tokio::test(start_paused = true)]
async fn abandoned_trials_count_only_after_the_third_crash() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE]);
    agents[1].record_crash(vec![PAGE]);
    for _ in 0..3 * TRIALS_MAX {
        drop(next_trial(&agents, PAGE).await.expect("a trial that upstreams survive is repeated"));
        sleep(SPREAD_TIME).await;
    }
    agents[2].record_crash(vec![PAGE]);
    sleep(SPREAD_TIME).await;
    let mut trials = 0;
    while let Some(trial) = next_trial(&agents, PAGE).await {
        trials += 1;
        assert!(trials <= TRIALS_MAX, "trials must be bounded");
        drop(trial);
        sleep(SPREAD_TIME).await;
    }
    assert_eq!(trials, TRIALS_MAX);
}

#[tokio::test(start_paused = true)]
async fn answers_and_trials_missing_after_a_rollback_of_the_store_are_written_again() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![PAGE, HARMFUL]);
    agents[1].record_crash(vec![PAGE, HARMFUL]);
    sleep(SPREAD_TIME).await;
    store.take_snapshot();
    agents[0].share_answer(PAGE);
    let trial = next_trial(&agents, HARMFUL).await.expect("a trial");
    trial.end(TrialEnd::Lost);
    sleep(SPREAD_TIME).await;
    store.roll_back();
    assert_eq!(store.text(TRIALS_PATH), None);
    sleep(2 * SPREAD_TIME).await;
    let stored = stored(&store);
    let entry = |it| stored.requests.iter().find(|entry| entry.request == it).unwrap();
    assert!(entry(PAGE).answered);
    assert_eq!(entry(HARMFUL).begun, 1);
}

/// Guards against new trials for a request whose counts were removed from the full object.
#[tokio::test(start_paused = true)]
async fn the_shared_object_is_bounded_and_keeps_the_trials() {
    let store = Arc::new(FakeStore::new());
    let agents = start_all(&store).await;
    agents[0].record_crash(vec![HARMFUL]);
    agents[1].record_crash(vec![HARMFUL]);
    std::mem::forget(next_trial(&agents, HARMFUL).await.expect("a trial"));
    for batch in 0..3 * ENTRIES_MAX as u64 / 128 {
        let requests: Vec<_> = (0..128).map(|it| Fingerprint(batch * 128 + it)).collect();
        agents[0].record_crash(requests.clone());
        requests.into_iter().for_each(|it| agents[0].share_answer(it));
        sleep(SPREAD_TIME).await;
    }
    let stored = stored(&store);
    assert_eq!(stored.requests.len(), ENTRIES_MAX);
    let harmful = stored.requests.iter().find(|it| it.request == HARMFUL);
    assert_eq!(harmful.map(|it| it.begun), Some(1));
}

#[test]
fn entries_of_other_versions_are_read_with_defaults() {
    let text = r#"{"requests": [{"request": "00000000000000ff", "later_field": 1}], "other": {}}"#;
    let object: TrialsObject = serde_json::from_str(text).unwrap();
    assert_eq!(object.requests[0].request, Fingerprint(255));
    assert_eq!((object.requests[0].begun, object.requests[0].answered), (0, false));
}

/// Lets agents run the page and the harmful request in random order, with restarts of agents and outages of the store.
/// The harmful request reaches upstreams in no more than three trials after its third crash, and the page is served by
/// all agents in the end.
async fn run_random_order(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let store = Arc::new(FakeStore::new());
    let mut agents = start_all(&store).await;
    let (mut crashes, mut runs_after_third) = (0, 0);
    for _ in 0..80 {
        let index = rng.random_range(0..agents.len());
        match rng.random_range(0..10) {
            // A crash by the harmful request, and in some cases with the page in flight.
            0..=3 => {
                let is_trial = agents[index].is_quarantined(HARMFUL);
                let trial = try_once(&agents[index], HARMFUL).await;
                if is_trial && trial.is_none() {
                    continue;
                }
                runs_after_third += u32::from(crashes >= 3);
                crashes += 1;
                let mut in_flight = vec![HARMFUL];
                if rng.random() && agents[index].status(PAGE) != QuarantineStatus::Quarantined {
                    in_flight.push(PAGE);
                }
                agents[index].record_crash(in_flight);
                trial.into_iter().for_each(|it| it.end(TrialEnd::Lost));
                sleep(SPREAD_TIME).await;
            }
            // A crash from another cause.
            4 => {
                if agents[index].status(PAGE) != QuarantineStatus::Quarantined {
                    agents[index].record_crash(vec![PAGE]);
                    sleep(SPREAD_TIME).await;
                }
            }
            5 => {
                let index = rng.random_range(0..agents.len());
                let name = ["a", "b", "c"][index];
                drop(agents.remove(index));
                agents.insert(index, start(&store, name));
                sleep(SPREAD_TIME).await;
            }
            // Without word of crashes, the number of runs is not bounded, so nothing runs in an outage.
            6 => {
                store.is_down.store(true, Ordering::SeqCst);
                assert!(try_once(&agents[index], HARMFUL).await.is_none());
                store.is_down.store(false, Ordering::SeqCst);
                sleep(2 * SPREAD_TIME).await;
            }
            _ => sleep(Duration::from_millis(rng.random_range(0..8_000))).await,
        }
    }
    assert!(runs_after_third <= 3, "seed {seed}: {runs_after_third} runs after three crashes");
    if agents.iter().any(|it| it.is_quarantined(PAGE)) {
        let trial = next_trial(&agents, PAGE).await.expect("the page must be tried");
        agents[0].share_answer(PAGE);
        trial.end_answered();
    } else {
        agents.iter().for_each(|it| it.share_answer(PAGE));
    }
    wait_until(&agents, PAGE, QuarantineStatus::Clear).await;
    drop(agents);
    wait_until(&start_all(&store).await, PAGE, QuarantineStatus::Clear).await;
}

#[test]
fn in_any_order_the_harmful_request_is_bounded_and_the_page_is_served() {
    fn property(seed: u64) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run_random_order(seed));
        true
    }
    QuickCheck::new().tests(40).quickcheck(property as fn(u64) -> bool);
}
