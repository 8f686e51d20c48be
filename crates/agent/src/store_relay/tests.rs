//! Watches through readers, with a store in memory and virtual time.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use model::{Instance, ObjectVersion};
use object_store::{
    CallCounts, CallKind, Change, Changes, Follower, FollowerTimes, Object, ObjectStore,
    StoreError, StoreResult,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use settings::AgentSettings;
use tokio::{task::JoinHandle, time::sleep};
use wire::exchange::Envelope;

use super::{CONFIG_DELAY_MIN, FollowedStores, Relay, history::History, is_reader};
use crate::{control::tests::platform::FakeStore, tests::fakes};

const PREFIX: &str = "config/";
const PATH: &str = "config/main";
/// Time after which all agents follow readers: the longest watch of the store that began before.
const SETTLED_AFTER: Duration = Duration::from_secs(25);
const READERS: usize = 2;
const FOLLOWERS: usize = 10;

const FOLLOWER_TIMES: FollowerTimes = FollowerTimes {
    watch_wait: Duration::from_secs(18),
    call_interval_min: Duration::from_millis(50),
    retry_delay_min: Duration::from_millis(100),
    retry_delay_max: Duration::from_millis(1_000),
};

/// A store to which one agent's path can be cut: its calls are then never answered.
struct CuttableStore {
    store: Arc<FakeStore>,
    is_cut: Arc<AtomicBool>,
}

impl CuttableStore {
    fn unless_cut<'a, T: Send + 'a>(&'a self, call: StoreResult<'a, T>) -> StoreResult<'a, T> {
        Box::pin(async move {
            let answer = async {
                let result = call.await;
                while self.is_cut.load(Ordering::SeqCst) {
                    sleep(Duration::from_millis(10)).await;
                }
                result
            };
            let peer = "127.0.0.1:1".parse().unwrap();
            let unavailable = || StoreError::Unavailable {
                step: "call".to_owned(),
                peer,
                reason: "cut".to_owned(),
            };
            // The path is checked when the answer is due, and once more by the client's probes of its connection.
            tokio::select! {
                it = answer => it,
                () = self.cut_for(Duration::from_secs(3)) => Err(unavailable()),
            }
        })
    }

    async fn cut_for(&self, duration: Duration) {
        let step = Duration::from_millis(10);
        let mut cut = Duration::ZERO;
        while cut < duration {
            sleep(step).await;
            cut = if self.is_cut.load(Ordering::SeqCst) { cut + step } else { Duration::ZERO };
        }
    }
}

impl ObjectStore for CuttableStore {
    fn read(&self, path: &str) -> StoreResult<'_, Option<Object>> {
        self.unless_cut(self.store.read(path))
    }

    fn update(
        &self,
        path: &str,
        expected: ObjectVersion,
        body: Bytes,
    ) -> StoreResult<'_, ObjectVersion> {
        self.unless_cut(self.store.update(path, expected, body))
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    fn list(&self, prefix: &str) -> StoreResult<'_, Changes> {
        self.unless_cut(self.store.list(prefix))
    }

    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> StoreResult<'_, Changes> {
        self.unless_cut(self.store.watch(prefix, after, wait))
    }
}

/// One agent: its relay, and a follower of the tested prefix.
struct Agent {
    instance: Instance,
    relay: Arc<Relay>,
    calls: Arc<CallCounts>,
    is_cut_from_store: Arc<AtomicBool>,
    is_cut_from_agents: AtomicBool,
    /// The versions and bodies seen, in order.
    seen: Arc<Mutex<Vec<(ObjectVersion, String)>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Agent {
    fn start(name: &str, store: &Arc<FakeStore>) -> Agent {
        let text = format!(
            r#"{{
                "instance": "{name}", "zone": "pitlane", "team": "club", "service": "standings",
                "caller_address": "127.0.0.1:1", "traffic_address": "127.0.0.1:2",
                "control_address": "127.0.0.1:5", "metrics_address": "127.0.0.1:3",
                "platform_address": "127.0.0.1:4", "link_key": "a key for tests only",
                "config_delay_max_s": 4
            }}"#
        );
        let relay = Relay::new(&AgentSettings::parse(&text).unwrap());
        let calls: Arc<CallCounts> = Arc::default();
        let followed = FollowedStores::new(Arc::clone(&calls), Arc::clone(&relay));
        let is_cut: Arc<AtomicBool> = Arc::default();
        let cuttable = || {
            let (store, is_cut) = (Arc::clone(store), Arc::clone(&is_cut));
            Arc::new(CuttableStore { store, is_cut })
        };
        followed.start_probes(cuttable());
        let mut follower = Follower::new(followed.wrap(cuttable()), PREFIX, FOLLOWER_TIMES);
        let seen: Arc<Mutex<Vec<_>>> = Arc::default();
        let recorded = Arc::clone(&seen);
        let task = tokio::spawn(async move {
            loop {
                for change in follower.next_with_retries("The prefix").await {
                    let text = String::from_utf8(change.body.unwrap_or_default().to_vec()).unwrap();
                    recorded.lock().unwrap().push((change.version, text));
                }
            }
        });
        Agent {
            instance: fakes::instance(name, "127.0.0.1:5".parse().unwrap()),
            relay,
            calls,
            is_cut_from_store: is_cut,
            is_cut_from_agents: AtomicBool::new(false),
            seen,
            tasks: vec![task],
        }
    }

    fn latest(&self) -> Option<String> {
        self.seen.lock().unwrap().last().map(|(_, text)| text.clone())
    }

    /// Returns the number of calls of the follower, without the lists.
    fn watch_calls(&self) -> u64 {
        self.calls.of(CallKind::Watch)
    }
}

/// Readers and their followers. Messages between them are delivered at the next tick, unless a test cuts an agent off.
struct Cluster {
    store: Arc<FakeStore>,
    agents: Arc<BTreeMap<String, Agent>>,
    pump: JoinHandle<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.pump.abort();
    }
}

impl Cluster {
    async fn start() -> Cluster {
        let store = Arc::new(FakeStore::new());
        store.put(PATH, "first");
        let names = |wants_reader: bool, count: usize| {
            let names = (0..).map(|it| format!("standings-{it}"));
            let fits = move |it: &String| {
                is_reader(&model::InstanceName::new(it).unwrap()) == wants_reader
            };
            names.filter(fits).take(count).collect::<Vec<String>>()
        };
        let names = [names(true, READERS), names(false, FOLLOWERS)].concat();
        let agents: BTreeMap<String, Agent> =
            names.iter().map(|it| (it.clone(), Agent::start(it, &store))).collect();
        let agents = Arc::new(agents);
        for agent in agents.values() {
            agent.relay.set_instances(agents.values().map(|it| &it.instance));
        }
        let pump = tokio::spawn(deliver_messages(Arc::clone(&agents)));
        let cluster = Cluster { store, agents, pump };
        sleep(SETTLED_AFTER).await;
        cluster
    }

    /// Replaces an agent by a new one of the same name.
    async fn restart(&mut self, name: &str) {
        self.pump.abort();
        sleep(Duration::from_millis(1)).await;
        let mut agents = std::mem::take(&mut self.agents);
        agents = Arc::new(Arc::try_unwrap(agents).map_or_else(
            |_| panic!("the agents are in use"),
            |mut it| {
                it.insert(name.to_owned(), Agent::start(name, &self.store));
                it
            },
        ));
        agents[name].relay.set_instances(agents.values().map(|it| &it.instance));
        self.pump = tokio::spawn(deliver_messages(Arc::clone(&agents)));
        self.agents = agents;
    }

    fn readers(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|it| it.relay.is_reader)
    }

    fn followers(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|it| !it.relay.is_reader)
    }

    fn watch_calls_of_followers(&self) -> u64 {
        self.followers().map(Agent::watch_calls).sum()
    }

    /// Checks that all agents that are not cut off know the latest object.
    fn check_all_know(&self, text: &str) {
        for agent in self.agents.values() {
            if !agent.is_cut_from_store.load(Ordering::SeqCst) {
                assert_eq!(agent.latest().as_deref(), Some(text), "{}", agent.instance);
            }
        }
    }
}

/// Delivers the messages of the relays at each tick, as control does.
async fn deliver_messages(agents: Arc<BTreeMap<String, Agent>>) {
    loop {
        sleep(Duration::from_millis(25)).await;
        for agent in agents.values() {
            for (to, message) in agent.relay.take_messages() {
                let to = &agents[to.name.as_str()];
                deliver(agent, to, message);
            }
        }
    }
}

fn deliver(from: &Agent, to: &Agent, message: Envelope) {
    let is_cut = |it: &Agent| it.is_cut_from_agents.load(Ordering::SeqCst);
    if is_cut(from) || is_cut(to) {
        return;
    }
    match Envelope::decode(&message.encode()).unwrap() {
        Envelope::WatchStore { watches } => {
            let answer = to.relay.handle_watches(&from.instance, watches);
            deliver(to, from, answer);
        }
        Envelope::StoreNews { age_ms, news } => {
            to.relay.handle_news(&from.instance, age_ms, news);
        }
        Envelope::StoreWatchRefused => to.relay.handle_refusal(&from.instance),
        other => panic!("unexpected {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn changes_reach_followers_without_calls_of_their_own() {
    let cluster = Cluster::start().await;
    let calls = cluster.watch_calls_of_followers();
    for text in ["second", "third", "fourth"] {
        cluster.store.put(PATH, text);
        sleep(Duration::from_millis(300)).await;
        cluster.check_all_know(text);
        sleep(Duration::from_secs(60)).await;
    }
    assert_eq!(cluster.watch_calls_of_followers(), calls);
}

/// An agent that starts anew in a running deployment watches nothing itself.
#[tokio::test(start_paused = true)]
async fn an_agent_that_starts_waits_for_its_first_reader() {
    let mut cluster = Cluster::start().await;
    let name = cluster.followers().next().unwrap().instance.name.as_str().to_owned();
    cluster.restart(&name).await;
    check_in_time(&cluster, "second").await;
    sleep(Duration::from_secs(60)).await;
    check_in_time(&cluster, "third").await;
    assert_eq!(cluster.agents[&name].watch_calls(), 0);
}

/// Checks that a change is known in time although it is made at the moment at which the fault begins.
async fn check_in_time(cluster: &Cluster, text: &str) {
    cluster.store.put(PATH, text);
    sleep(CONFIG_DELAY_MIN).await;
    cluster.check_all_know(text);
}

#[tokio::test(start_paused = true)]
async fn followers_watch_the_store_in_time_after_all_readers_are_cut_from_it() {
    let cluster = Cluster::start().await;
    cluster.readers().for_each(|it| it.is_cut_from_store.store(true, Ordering::SeqCst));
    check_in_time(&cluster, "second").await;
    cluster.readers().for_each(|it| it.is_cut_from_store.store(false, Ordering::SeqCst));
    sleep(SETTLED_AFTER).await;
    cluster.check_all_know("second");
    let calls = cluster.watch_calls_of_followers();
    cluster.store.put(PATH, "third");
    sleep(Duration::from_secs(30)).await;
    cluster.check_all_know("third");
    assert_eq!(cluster.watch_calls_of_followers(), calls, "the readers are followed again");
}

#[tokio::test(start_paused = true)]
async fn followers_watch_the_store_in_time_after_all_readers_are_lost() {
    let cluster = Cluster::start().await;
    cluster.readers().for_each(|it| it.is_cut_from_agents.store(true, Ordering::SeqCst));
    check_in_time(&cluster, "second").await;
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_one_reader_costs_no_calls() {
    let cluster = Cluster::start().await;
    let calls = cluster.watch_calls_of_followers();
    let reader = cluster.readers().next().unwrap();
    reader.is_cut_from_agents.store(true, Ordering::SeqCst);
    cluster.store.put(PATH, "second");
    sleep(Duration::from_millis(300)).await;
    cluster.check_all_know("second");
    sleep(Duration::from_secs(30)).await;
    assert_eq!(cluster.watch_calls_of_followers(), calls);
}

/// A reader that starts anew knows the changes since its start only. Its followers rely on the other one until they
/// have advanced to that, and list nothing.
#[tokio::test(start_paused = true)]
async fn a_reader_that_starts_anew_makes_nobody_list() {
    let mut cluster = Cluster::start().await;
    let lists = |it: &Cluster| it.followers().map(|it| it.calls.of(CallKind::List)).sum::<u64>();
    let before = (lists(&cluster), cluster.watch_calls_of_followers());
    // Other objects raise the revision of the store.
    cluster.store.put("plans/standings/0", "{}");
    let name = cluster.readers().next().unwrap().instance.name.as_str().to_owned();
    cluster.restart(&name).await;
    sleep(Duration::from_secs(60)).await;
    cluster.store.put(PATH, "second");
    sleep(Duration::from_millis(300)).await;
    cluster.check_all_know("second");
    assert_eq!((lists(&cluster), cluster.watch_calls_of_followers()), before);
    // Both are followed again.
    let reader = cluster.readers().find(|it| it.instance.name.as_str() != name).unwrap();
    reader.is_cut_from_agents.store(true, Ordering::SeqCst);
    cluster.store.put(PATH, "third");
    sleep(Duration::from_millis(300)).await;
    cluster.check_all_know("third");
    assert_eq!((lists(&cluster), cluster.watch_calls_of_followers()), before);
}

#[tokio::test(start_paused = true)]
async fn a_rollback_of_the_store_reaches_all_agents() {
    let cluster = Cluster::start().await;
    cluster.store.take_snapshot();
    cluster.store.put(PATH, "lost");
    sleep(Duration::from_secs(1)).await;
    cluster.check_all_know("lost");
    cluster.store.roll_back();
    sleep(CONFIG_DELAY_MIN).await;
    cluster.check_all_know("first");
    check_in_time(&cluster, "second").await;
}

#[tokio::test(start_paused = true)]
async fn a_change_after_an_outage_of_the_store_is_known_in_time() {
    let cluster = Cluster::start().await;
    cluster.store.is_down.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(7)).await;
    cluster.store.is_down.store(false, Ordering::SeqCst);
    check_in_time(&cluster, "second").await;
}

/// Random cuts, outages and rollbacks: versions never go back within an era, and once all is well again, every agent
/// knows the latest object in time.
#[tokio::test(start_paused = true)]
async fn random_faults_lose_no_change() {
    for seed in 0..12 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let cluster = Cluster::start().await;
        for step in 0..20 {
            let agents: Vec<&Agent> = cluster.agents.values().collect();
            let agent = agents[rng.random_range(0..agents.len())];
            match rng.random_range(0..6) {
                0 => agent.is_cut_from_store.store(rng.random(), Ordering::SeqCst),
                1 => agent.is_cut_from_agents.store(rng.random(), Ordering::SeqCst),
                2 => cluster.store.is_down.store(rng.random_bool(0.3), Ordering::SeqCst),
                3 => cluster.store.take_snapshot(),
                4 if rng.random_bool(0.3) => cluster.store.roll_back(),
                _ => drop(cluster.store.put(PATH, &format!("{seed}-{step}"))),
            }
            sleep(Duration::from_millis(rng.random_range(0..3_000))).await;
        }
        cluster.store.is_down.store(false, Ordering::SeqCst);
        for agent in cluster.agents.values() {
            agent.is_cut_from_store.store(false, Ordering::SeqCst);
            agent.is_cut_from_agents.store(false, Ordering::SeqCst);
        }
        let last = format!("{seed}-last");
        check_in_time(&cluster, &last).await;
        for agent in cluster.agents.values() {
            let seen = agent.seen.lock().unwrap();
            let goes_back = seen.windows(2).find(|it| it[1].0 <= it[0].0);
            assert!(goes_back.is_none(), "seed {seed}: {}: {goes_back:?}", agent.instance);
        }
    }
}

fn object(path: &str, revision: u64) -> Change {
    let version = ObjectVersion::of(0, revision);
    Change { path: path.to_owned(), version, body: Some(Bytes::from_static(b"{}")) }
}

fn changes(revision: u64, changes: Vec<Change>) -> Changes {
    Changes { revision: ObjectVersion::of(0, revision), changes }
}

/// Returns the versions and paths that a history returns after a revision.
fn after(history: &History, revision: u64) -> Option<Vec<(u64, String, bool)>> {
    let changes = history.after(ObjectVersion::of(0, revision))?.changes;
    let entry = |it: Change| (it.version.revision(), it.path, it.body.is_some());
    Some(changes.into_iter().map(entry).collect())
}

#[test]
fn a_history_has_all_changes_since_its_first_list() {
    let mut history = History::default();
    history.add_list(&changes(10, vec![object("config/a", 3), object("config/b", 7)]));
    assert_eq!(after(&history, 9), None);
    assert_eq!(after(&history, 10), Some(Vec::new()));
    history.add_watch(ObjectVersion::of(0, 10), &changes(12, vec![object("config/a", 12)]));
    assert_eq!(after(&history, 10), Some(vec![(12, "config/a".to_owned(), true)]));
    // A list shows changes and deletions that no watch has reported.
    history.add_list(&changes(20, vec![object("config/a", 12), object("config/c", 15)]));
    let expected = vec![(15, "config/c".to_owned(), true), (20, "config/b".to_owned(), false)];
    assert_eq!(after(&history, 12), Some(expected));
    // Neither an older list nor a watch from a later revision than the known one is continuous.
    history.add_list(&changes(15, vec![object("config/a", 12)]));
    history.add_watch(ObjectVersion::of(0, 30), &changes(40, vec![object("config/d", 35)]));
    assert_eq!(after(&history, 20), Some(Vec::new()));
    assert_eq!(history.revision(), ObjectVersion::of(0, 20));
}

#[test]
fn a_history_is_bounded_and_restarts_in_a_new_era() {
    let mut history = History::default();
    history.add_list(&changes(1, Vec::new()));
    for revision in 2..200 {
        let change = object("config/a", revision);
        history.add_watch(ObjectVersion::of(0, revision - 1), &changes(revision, vec![change]));
    }
    assert_eq!(after(&history, 100), None);
    assert_eq!(after(&history, 150).map(|it| it.len()), Some(49));
    history.add_list(&Changes { revision: ObjectVersion::of(1, 5), changes: Vec::new() });
    assert_eq!(after(&history, 199), None);
    assert_eq!(history.after(ObjectVersion::of(1, 5)).unwrap().changes, Vec::new());
}
