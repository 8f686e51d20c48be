//! Two targets of a service crash, some seconds apart, while each runs a read of the page that most clients ask for.
//! The page has harmed neither. At the end of the day all agents are killed. RECOVER: a quarter of the requests that are
//! sent later than `recover_s` after that is served, if a quarter was before.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, is_served},
    record::now_ms,
    world::{World, wait_for},
};

const CONFIG: &str = r#"{"version":"r1","services":[{"name":"lapboard","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"hosts":[{"host":"meet.example","paths":[{"name":"lap-read","path_prefix":"/lap/","type":"idempotent","timeout_s":1.2,"target_latency_s":0.6,"priority":2,"service":"lapboard","attempts":2}]}]}"#;
const MACHINES: usize = 6;
const WORK_MS: u64 = 400;
/// How long a crashed target is down; site files have 4.5 s.
const DOWN: Duration = Duration::from_secs(3);
/// Bound of the rule.
const RECOVER: Duration = Duration::from_secs(15);
const DEADLINE_MS: u64 = 2_500;
const PAGE: &str = "GET /lap/now";
const OTHER_PAGE: &str = "GET /lap/list";
/// Time from one request of a client to its next.
const PERIOD: Duration = Duration::from_millis(700);
/// One request in this many is for the other page.
const OTHER_EVERY: usize = 10;

/// The times at which requests were sent, and whether they were served.
type Results = Arc<Mutex<Vec<(u64, bool)>>>;

pub fn run(record: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::start(record, CONFIG, &["lapboard"; MACHINES])?;
    let mut targets = Vec::new();
    for index in 0..MACHINES {
        let id = format!("i-{index}a");
        targets.push(Some(world.start_target(index, &id, "lapboard", false, WORK_MS)?));
        world.start_agent(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let results: Results = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    // The page is opened in one zone, then in the next. Machines 0 and 3 are in the first, 1 and 4 in the second.
    for zone in [[0, 3], [1, 4]] {
        let asking = zone[0];
        let mut first =
            Client::new(&format!("{asking}"), world.machines[asking].egress, &world.record);
        let known = runs_of_page(&world).len();
        let reader = thread::spawn(move || drop(first.ask(PAGE, b"", DEADLINE_MS)));
        if has_trouble {
            wait_for("the first read in a zone", Duration::from_secs(2), || {
                runs_of_page(&world).len() > known
            })?;
            thread::sleep(Duration::from_millis(100));
            let index = runs_of_page(&world)[known];
            world.record.line(&format!("trouble: target i-{index}a crashes"));
            targets[index] = None;
            let _ = reader.join();
            thread::sleep(DOWN);
            let id = format!("i-{index}b");
            targets[index] = Some(world.start_target(index, &id, "lapboard", false, WORK_MS)?);
        } else {
            let _ = reader.join();
            thread::sleep(DOWN);
        }
        thread::sleep(Duration::from_secs(3));
        for index in zone {
            for client in 0..2 {
                clients.push(start_client(&world, index, client, &results, &is_over));
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    for index in [2, 5] {
        clients.push(start_client(&world, index, 0, &results, &is_over));
    }
    thread::sleep(Duration::from_secs(5));
    let before_from = now_ms();
    thread::sleep(Duration::from_secs(8));
    let fault_at = now_ms();
    world.record.line("final fault: all agents are killed");
    for index in 0..MACHINES {
        world.kill_agent(index);
    }
    thread::sleep(Duration::from_secs(1));
    for index in 0..MACHINES {
        world.start_agent(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    world.record.line("the agents are back");
    thread::sleep(RECOVER);
    let after_from = now_ms();
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(targets);
    let results = results.lock().unwrap();
    let share = |from: u64, to: u64| {
        let sent: Vec<bool> =
            results.iter().filter(|it| (from..to).contains(&it.0)).map(|it| it.1).collect();
        let served = sent.iter().filter(|it| **it).count();
        (served, sent.len(), served as f64 / sent.len().max(1) as f64)
    };
    let (before, after) = (share(before_from, fault_at), share(after_from, u64::MAX));
    let text = format!(
        "before the final fault {} of {} requests were served, later than {RECOVER:?} after it {} of {}",
        before.0, before.1, after.0, after.1
    );
    println!("{text}");
    world.record.line(&text);
    if before.2 < 0.25 || after.1 < 20 {
        return Err("too few requests were sent, or served before the final fault".to_owned());
    }
    Ok(after.2 >= 0.25)
}

/// The machines whose targets have begun to run the page, in this order.
fn runs_of_page(world: &World) -> Vec<usize> {
    let text = std::fs::read_to_string(&world.record_path).unwrap_or_default();
    let run = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let [_, "lapboard", target, "runs", _, "GET", "/lap/now", _] = words[..] else {
            return None;
        };
        target.get(2..3)?.parse().ok()
    };
    text.lines().filter_map(run).collect()
}

/// Starts a client that reads until the day is over.
fn start_client(
    world: &World,
    index: usize,
    number: usize,
    results: &Results,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let name = format!("{index}-{number}");
    let mut client = Client::new(&name, world.machines[index].egress, &world.record);
    let (results, is_over) = (Arc::clone(results), Arc::clone(is_over));
    thread::spawn(move || {
        for count in 1.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let page = if count % OTHER_EVERY == 0 { OTHER_PAGE } else { PAGE };
            let (sent_at, started) = (now_ms(), Instant::now());
            let answer = client.ask(page, b"", DEADLINE_MS);
            results.lock().unwrap().push((sent_at, is_served(answer.as_ref())));
            thread::sleep(PERIOD.saturating_sub(started.elapsed()));
        }
    })
}
