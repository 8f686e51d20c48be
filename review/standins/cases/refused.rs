//! A target that is full refuses an entry as not run, and the second copy of that refusal arrives late, where the
//! answer to the agent's next try is expected.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::deploy;
use crate::{
    client::{Attempt, entry_body},
    http::Message,
    mesh::Setup,
    target::Options,
};

const TRIALS: u32 = 60;
const CAPACITY: usize = 4;
const QUEUE: usize = 2;
const FILL_MS: u64 = 160;

pub fn run(setup: &Setup, trouble: bool) -> Result<u8, String> {
    let options = Options {
        capacity: CAPACITY,
        queue: QUEUE,
        sharded: true,
        repeats_refusals: trouble,
        ..Options::default()
    };
    let deployment = deploy(setup, &options)?;
    let record = &setup.record;
    let egress: Vec<_> = deployment.agents.iter().map(|it| it.machine.egress()).collect();
    // The usual traffic: short reads of all keys.
    let is_over = Arc::new(AtomicBool::new(false));
    // Whether the readers pause.
    let is_quiet = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = egress
        .iter()
        .map(|to| {
            let (to, is_over, record) = (*to, Arc::clone(&is_over), record.clone());
            let is_quiet = Arc::clone(&is_quiet);
            thread::spawn(move || {
                let mut key = 0_u32;
                while !is_over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(15));
                    if is_quiet.load(Ordering::SeqCst) {
                        continue;
                    }
                    key = (key + 7919) % 65_536;
                    Attempt::new("GET", "/lohu930/w2", Some(key), 1000).send(&record, to, false);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut statuses = Vec::new();
    for trial in 0..TRIALS {
        let key = (1000 + trial * 1601) % 65_536;
        let to = egress[trial as usize % egress.len()];
        let fill = format!("/lohu930/w{FILL_MS}");
        // Clients that leave before their deadline: the target goes on with their work.
        let leave = |after: u64| {
            let attempt = Attempt::new("GET", &fill, Some(key), 2000);
            thread::spawn(move || attempt.send_and_leave(to, Duration::from_millis(after)));
        };
        is_quiet.store(true, Ordering::SeqCst);
        (0..CAPACITY).for_each(|_| leave(40));
        thread::sleep(Duration::from_millis(50));
        (0..QUEUE).for_each(|_| leave(40));
        // About when the first of this work ends.
        thread::sleep(Duration::from_millis(FILL_MS - 50 - 6 + u64::from(trial % 8)));
        let post = Attempt::new("POST", "/pufi791/w60", Some(key), 3000).with_entry(trial);
        let answer = post.send_for_answer(record, to, true);
        let status = answer.as_ref().map_or(0, Message::status);
        is_quiet.store(false, Ordering::SeqCst);
        statuses.push((post.id, status));
        // The client's one retry, after a promise that the entry has not run.
        if matches!(status, 408 | 421 | 429 | 503) {
            let after = answer.as_ref().and_then(|it| it.header("retry-after")?.parse().ok());
            thread::sleep(Duration::from_secs_f64(after.unwrap_or(0.0)));
            let retry = Attempt::new("POST", "/pufi791/w60", Some(key), 2900).with_entry(trial);
            let status = retry.send(record, to, true);
            statuses.push((retry.id, status));
        }
        thread::sleep(Duration::from_millis(250));
    }
    is_over.store(true, Ordering::SeqCst);
    for it in readers {
        _ = it.join();
    }
    thread::sleep(Duration::from_millis(500));
    let runs: Vec<String> = deployment
        .targets
        .iter()
        .flat_map(|it| it.runs.lock().unwrap().clone())
        .map(|it| it.id)
        .collect();
    let count = |counter: fn(&crate::target::Inner) -> u64| -> u64 {
        deployment.targets.iter().map(|it| counter(it)).sum()
    };
    let answers = count(|it| it.answers.load(Ordering::Relaxed));
    let extra = count(|it| it.extra_answers.load(Ordering::Relaxed));
    record.line(&format!("the targets gave {answers} answers and {extra} second copies"));
    let mut broken = 0;
    for (id, status) in &statuses {
        let times = runs.iter().filter(|it| *it == id).count();
        if times > 1 {
            record.line(&format!("TWICE: {id} ran {times} times"));
            broken += 1;
        }
        if times > 0 && matches!(status, 408 | 421 | 429 | 503) {
            record.line(&format!("REFUSED: {id} was answered {status} and has run"));
            broken += 1;
        }
    }
    for trial in 0..TRIALS {
        let entry = entry_body(trial);
        let times = deployment.targets.iter().flat_map(|it| it.runs.lock().unwrap().clone());
        let times = times.filter(|it| it.body == entry).count();
        if times > 1 {
            record.line(&format!("{entry} was recorded {times} times"));
        }
    }
    let served = statuses.iter().filter(|it| it.1 == 200).count();
    record.line(&format!(
        "{served} of {} attempts answered 200, {broken} broke the rule",
        statuses.len()
    ));
    if served == 0 {
        return Err("no entry was served".to_owned());
    }
    Ok(u8::from(broken > 0))
}
