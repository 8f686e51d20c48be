//! A deployment whose coordinator has changed often: the store comes back from an older copy, and some time later the
//! process that coordinates is killed.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use super::{age::term, deploy_with};
use crate::{
    client::Attempt,
    json::Json,
    mesh::{Setup, wait_until},
    target::Options,
};

/// What the case `age` has written down.
const STORE: &str = "review/1/store.json";
const AWAY: Duration = Duration::from_millis(1000);
const COPY_AGE: Duration = Duration::from_millis(2000);
const BACK_MAX: Duration = Duration::from_secs(45);
/// The pause between two machines.
const BETWEEN: Duration = Duration::from_secs(5);
const SAMPLES: u32 = 200;

pub fn run(setup: &Setup, trouble: bool) -> Result<u8, String> {
    let record = setup.record.clone();
    let fences = Arc::new(Mutex::new(vec![(0, String::new()); 2048]));
    let options = Options { sharded: true, fences: Some(fences), ..Options::default() };
    let stored = std::fs::read_to_string(STORE).map_err(|it| it.to_string())?;
    let mut deployment = deploy_with(setup, &options, &stored)?;
    let line_of_term = |when: &str| {
        let term = term(&deployment.store).unwrap_or(0);
        record.line(&format!("{when}: the term is {term}"));
    };
    line_of_term("at first");
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU32; 2]> = Arc::default();
    let clients: Vec<_> = deployment
        .agents
        .iter()
        .map(|agent| {
            let (to, is_over, record) =
                (agent.machine.egress(), Arc::clone(&is_over), record.clone());
            let counts = Arc::clone(&counts);
            thread::spawn(move || {
                let mut key = 0_u32;
                while !is_over.load(Ordering::SeqCst) {
                    key = (key + 7919) % 65_536;
                    let read = Attempt::new("GET", "/lohu930/w5", Some(key), 1000);
                    let is_served = read.send(&record, to, false) == 200;
                    counts[usize::from(is_served)].fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    let report = |when: &str| {
        let [failed, served] = [0, 1].map(|it| counts[it].swap(0, Ordering::SeqCst));
        record.line(&format!("{when}: {served} reads served, {failed} not"));
    };
    let targets = deployment.targets.clone();
    let all_held = || {
        (0..SAMPLES).all(|it| targets.iter().any(|target| target.holds_key(it * 65_536 / SAMPLES)))
    };
    if !wait_until(BACK_MAX, all_held) {
        return Err("not all keys were granted at first".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    report("the first seconds");
    if trouble {
        let (from, to) = deployment.store.drill(AWAY, COPY_AGE);
        record.line(&format!(
            "drill: the store was away for {AWAY:?} and is back at revision {to} instead of {from}"
        ));
        thread::sleep(Duration::from_secs(3));
    }
    if !wait_until(BACK_MAX, all_held) {
        return Err("not all keys were granted after the drill".to_owned());
    }
    line_of_term("after the drill");
    report("until all keys are granted again");
    let coordinator = || {
        let object = Json::parse(deployment.store.object("coordinators")?.as_bytes())?;
        object.get("holder")?.get("name")?.text().map(str::to_owned)
    };
    // All machines are stopped and started in turn, two rounds, the one that coordinates as the second.
    let name = coordinator().ok_or("nobody coordinates")?;
    let first = usize::from(deployment.agents[0].machine.name == name);
    let second = deployment.agents.iter().position(|it| it.machine.name == name);
    let second = second.ok_or("the coordinator is unknown")?;
    let round = [first, second, 3 - first - second];
    for number in round.into_iter().chain(round) {
        let agent = &mut deployment.agents[number];
        agent.stop_and_start().map_err(|it| it.to_string())?;
        thread::sleep(BETWEEN);
        line_of_term("after the start");
        report("since the machine was stopped");
    }
    thread::sleep(Duration::from_secs(10));
    report("the last 10 seconds");
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        _ = it.join();
    }
    let broken = options.broken.load(Ordering::SeqCst);
    record.line(&format!(
        "{broken} times a target took keys with a fence that was not above all others"
    ));
    Ok(u8::from(broken > 0))
}
