//! A target leaves right after the agent beside it was killed and started again, and a beat that it sent before
//! arrives late.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::deploy;
use crate::{
    client::Attempt,
    mesh::{Setup, wait_until},
    target::{Options, Run},
};

const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;
/// How long the target goes on to serve after `drain_s`.
const LONGER_S: f64 = 1.6;
const BEAT_LATE: Duration = Duration::from_millis(3950);

pub fn run(setup: &Setup, trouble: bool) -> Result<u8, String> {
    let options = Options::default();
    let mut deployment = deploy(setup, &options)?;
    let record = setup.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<Vec<(String, f64, u16)>>> = Arc::default();
    let clients: Vec<_> = deployment
        .agents
        .iter()
        .map(|agent| {
            let (to, is_over, record) =
                (agent.machine.egress(), Arc::clone(&is_over), record.clone());
            let statuses = Arc::clone(&statuses);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (record, statuses) = (record.clone(), Arc::clone(&statuses));
                    thread::spawn(move || {
                        let post = Attempt::new("POST", "/pufi791/w290", None, 3000);
                        let sent_at = record.now();
                        let status = post.send(&record, to, true);
                        statuses.lock().unwrap().push((post.id, sent_at, status));
                    });
                    thread::sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let target = deployment.targets[1].clone();
    // No further beat is on its way when this one is sent.
    target.stop_beats();
    thread::sleep(Duration::from_millis(900));
    let beat = target.next_beat();
    let late = {
        let (target, record) = (target.clone(), record.clone());
        thread::spawn(move || {
            if trouble {
                record.line("a beat of the target is held up on its way");
                thread::sleep(BEAT_LATE);
            }
            let answer = target.send(&beat).map(|it| it.status());
            record.line(&format!("the beat arrives, answer {answer:?}"));
        })
    };
    // All this is over before the next beat is due.
    thread::sleep(Duration::from_millis(100));
    let agent = &mut deployment.agents[1];
    agent.kill();
    thread::sleep(Duration::from_millis(200));
    agent.spawn().map_err(|it| it.to_string())?;
    let restarted_at = record.now();
    thread::sleep(Duration::from_millis(450));
    if !wait_until(Duration::from_secs(5), || target.leave()) {
        return Err("the leaving of the target was not acknowledged".to_owned());
    }
    let left_at = record.now();
    thread::sleep(Duration::from_secs_f64(DRAIN_S + LONGER_S));
    target.exit();
    _ = late.join();
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for it in clients {
        _ = it.join();
    }
    thread::sleep(Duration::from_secs(3));
    let statuses = statuses.lock().unwrap();
    let from = (left_at + DRAIN_S).max(restarted_at + CONTACT_S);
    let sent_at = |id: &str| statuses.iter().find(|it| it.0 == id).map(|it| it.1);
    let runs = target.runs.lock().unwrap();
    let is_in_touch = |id: &str| sent_at(id).is_some_and(|it| it > restarted_at + CONTACT_S);
    let late_runs: Vec<&Run> =
        runs.iter().filter(|it| it.at > from && is_in_touch(&it.id)).collect();
    for it in &late_runs {
        record.line(&format!(
            "DRAIN: {} ran {:.3} s after the acknowledgement",
            it.id,
            it.at - left_at
        ));
    }
    let lost =
        late_runs.iter().filter(|run| statuses.iter().any(|it| it.0 == run.id && it.2 != 200));
    let (lost, late) = (lost.count(), late_runs.len());
    let served = statuses.iter().filter(|it| it.2 == 200).count();
    record.line(&format!(
        "{served} of {} entries answered 200; {late} ran at the target that had left, {lost} of them without a success",
        statuses.len()
    ));
    if served == 0 {
        return Err("no entry was served".to_owned());
    }
    Ok(u8::from(late > 0))
}
