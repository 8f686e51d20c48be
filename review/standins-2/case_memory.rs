//! Some clients send bodies that the configuration allows, while others wait for answers on kept connections. The
//! platform kills a process that exceeds its memory. LOST: a machine closes no more than three kept connections without
//! an answer after it has passed a request on to a sound target.

use std::{
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::{Client, is_served},
    world::{World, wait_for},
};

const CONFIG: &str = r#"{"version":"r1","services":[{"name":"racecontrol","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"hosts":[{"host":"meet.example","paths":[{"name":"penalty-post","path_prefix":"/penalty/","type":"non_idempotent","timeout_s":3,"target_latency_s":0.8,"priority":1,"service":"racecontrol","attempts":2}]}]}"#;
/// `self.limits.memory_mb` of the settings.
const MEMORY_MB: u64 = 260;
const WORK_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 3_000;
const WAITING: usize = 8;
const UPLOADS: usize = 3;
/// A little less than `max_body_bytes`.
const LARGE: usize = 64_000_000;
const SMALL: usize = 64_000;
const REQUEST: &str = "POST /penalty/2f";

pub fn run(record: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::start(record, CONFIG, &["racecontrol"; 3])?;
    let mut targets = Vec::new();
    for index in 0..3 {
        let id = format!("i-{index}a");
        targets.push(world.start_target(index, &id, "racecontrol", false, WORK_MS)?);
        world.start_agent(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let egress = world.machines[0].egress;
    let pid = world.machines[0].agent.as_ref().map_or(0, |it| it.0.id());
    let (peak_kb, was_killed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    watch_memory(pid, &world, &peak_kb, &was_killed);

    let mut waiting: Vec<Client> = (0..WAITING)
        .map(|it| Client::new(&format!("waiting-{it}"), egress, &world.record))
        .collect();
    // Each has had an answer on its connection before.
    let served =
        each(&mut waiting, |it| is_served(it.ask(REQUEST, b"drive-through", DEADLINE_MS).as_ref()));
    if served != WAITING {
        return Err("the first requests were not all served".to_owned());
    }
    let known = runs(&world).len();
    let answered = thread::scope(|scope| {
        let clients = scope.spawn(|| {
            each(&mut waiting, |it| it.ask(REQUEST, b"drive-through", DEADLINE_MS).is_some())
        });
        let passed_on = || runs(&world).len() >= known + WAITING;
        let result = wait_for("the requests at their targets", Duration::from_secs(2), passed_on);
        let size = if has_trouble { LARGE } else { SMALL };
        for number in 0..UPLOADS {
            let mut client = Client::new(&format!("upload-{number}"), egress, &world.record);
            scope.spawn(move || client.ask(REQUEST, &vec![b'x'; size], DEADLINE_MS));
        }
        result.map(|()| clients.join().unwrap_or(0))
    })?;
    let lost = WAITING - answered;
    let text = format!(
        "memory of the agent at its peak: {} MB of {MEMORY_MB}; killed: {}; requests that were passed on and closed without an answer: {lost} of {WAITING}",
        peak_kb.load(Ordering::SeqCst) / 1024,
        was_killed.load(Ordering::SeqCst),
    );
    println!("{text}");
    world.record.line(&text);
    drop(targets);
    Ok(lost <= 3)
}

/// Runs all clients at a time and counts those for which `is_true` returns true.
fn each(clients: &mut [Client], is_true: impl Fn(&mut Client) -> bool + Sync) -> usize {
    thread::scope(|scope| {
        let threads: Vec<_> = clients.iter_mut().map(|it| scope.spawn(|| is_true(it))).collect();
        threads.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count()
    })
}

/// The requests that targets have begun to run.
fn runs(world: &World) -> Vec<String> {
    let text = fs::read_to_string(&world.record_path).unwrap_or_default();
    text.lines().filter(|it| it.contains(" runs ")).map(str::to_owned).collect()
}

/// Kills the process when it exceeds its memory, as the platform does.
fn watch_memory(pid: u32, world: &World, peak_kb: &Arc<AtomicU64>, was_killed: &Arc<AtomicBool>) {
    let (peak_kb, was_killed) = (Arc::clone(peak_kb), Arc::clone(was_killed));
    let record = world.record.clone();
    thread::spawn(move || {
        while let Some(kb) = resident_kb(pid) {
            peak_kb.fetch_max(kb, Ordering::SeqCst);
            if kb > MEMORY_MB * 1024 {
                record.line(&format!("platform: kills the agent, which has {} MB", kb / 1024));
                was_killed.store(true, Ordering::SeqCst);
                let _ =
                    std::process::Command::new("kill").args(["-KILL", &pid.to_string()]).status();
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
