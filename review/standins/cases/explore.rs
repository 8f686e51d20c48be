//! Exploration: random drills of the store and kills, while the holders of all keys are watched.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::deploy;
use crate::{client::Attempt, mesh::Setup, target::Options};

struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

pub fn run(setup: &Setup, trouble: bool) -> Result<u8, String> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    let kinds = std::env::var("KINDS").unwrap_or("drill,kill,killall,stop".to_owned());
    let kinds: Vec<&str> = kinds.split(',').collect();
    let seconds: u64 =
        std::env::var("SECONDS_LONG").ok().and_then(|it| it.parse().ok()).unwrap_or(60);
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    (0..10).for_each(|_| {
        rng.next(2);
    });
    let fences = Arc::new(Mutex::new(vec![(0, String::new()); 2048]));
    let options = Options { sharded: true, fences: Some(fences), ..Options::default() };
    let mut deployment = deploy(setup, &options)?;
    let record = setup.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for agent in &deployment.agents {
        let (to, is_over, record) = (agent.machine.egress(), Arc::clone(&is_over), record.clone());
        threads.push(thread::spawn(move || {
            let mut key = 0_u32;
            while !is_over.load(Ordering::SeqCst) {
                key = (key + 7919) % 65_536;
                let attempt = match key % 3 {
                    0 => Attempt::new("POST", "/pufi791/w20", Some(key), 2000),
                    _ => Attempt::new("GET", "/lohu930/w5", Some(key), 2000),
                };
                attempt.send(&record, to, false);
                thread::sleep(Duration::from_millis(15));
            }
        }));
    }
    let (targets, over, rec) = (deployment.targets.clone(), Arc::clone(&is_over), record.clone());
    let broken = Arc::clone(&options.broken);
    threads.push(thread::spawn(move || {
        let mut since: Vec<Option<Instant>> = vec![None; 2048];
        while !over.load(Ordering::SeqCst) {
            let mut first = None;
            for sample in 0..2048_usize {
                let key = sample as u32 * 32 + 5;
                let holders = targets.iter().filter(|it| it.holds_key(key)).count();
                if holders > 1 {
                    since[sample].get_or_insert_with(Instant::now);
                    first = first.or(Some(key));
                } else if let Some(at) = since[sample].take() {
                    let ms = at.elapsed().as_millis();
                    if sample % 64 == 0 || ms > 500 {
                        rec.line(&format!("key {key} had two holders for {ms} ms"));
                    }
                    if ms > 500 {
                        broken.fetch_add(1, Ordering::SeqCst);
                    }
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }));
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + Duration::from_secs(seconds);
    while trouble && Instant::now() < until {
        let kind = kinds[rng.next(kinds.len() as u64) as usize];
        let at = rng.next(3) as usize;
        record.line(&format!(
            "event {kind} {at}; coordinators: {:?}",
            deployment
                .store
                .object("coordinators")
                .map(|it| it.chars().take(160).collect::<String>())
        ));
        match kind {
            "drill" => {
                let (away, age) = (100 + rng.next(1500), 500 + rng.next(6000));
                let (from, to) =
                    deployment.store.drill(Duration::from_millis(away), Duration::from_millis(age));
                record
                    .line(&format!("store was away {away} ms, went from revision {from} to {to}"));
            }
            "drillkill" => {
                let (away, age) = (100 + rng.next(800), 500 + rng.next(6000));
                deployment.agents[at].kill();
                let (from, to) =
                    deployment.store.drill(Duration::from_millis(away), Duration::from_millis(age));
                record
                    .line(&format!("store was away {away} ms, went from revision {from} to {to}"));
                deployment.agents[at].spawn().unwrap();
            }
            "kill" => {
                deployment.agents[at].kill();
                thread::sleep(Duration::from_millis(200 + rng.next(1500)));
                deployment.agents[at].spawn().unwrap();
            }
            "killall" => {
                deployment.agents.iter_mut().for_each(|it| it.kill());
                thread::sleep(Duration::from_millis(200 + rng.next(500)));
                deployment.agents.iter_mut().for_each(|it| it.spawn().unwrap());
            }
            "term" => {
                deployment.agents[at].signal("TERM");
                thread::sleep(Duration::from_millis(6000));
                deployment.agents[at].kill();
                deployment.agents[at].spawn().unwrap();
            }
            "late" => {
                deployment.store.is_losing.store(true, Ordering::SeqCst);
                if rng.next(2) == 0 {
                    deployment.agents[at].kill();
                    thread::sleep(Duration::from_millis(500));
                    deployment.agents[at].spawn().unwrap();
                }
                thread::sleep(Duration::from_millis(3000 + rng.next(4000)));
                deployment.store.is_losing.store(false, Ordering::SeqCst);
            }
            "unheard" => {
                let target = &deployment.targets[at];
                target.is_unheard.store(true, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(1000 + rng.next(4000)));
                target.is_unheard.store(false, Ordering::SeqCst);
            }
            "foreign" => deployment.targets[at].foreign_beat(),
            "crash" => deployment.targets[at].restart(),
            "stop" => {
                deployment.agents[at].signal("STOP");
                thread::sleep(Duration::from_millis(500 + rng.next(4000)));
                deployment.agents[at].signal("CONT");
            }
            _ => return Err(format!("no event {kind}")),
        }
        thread::sleep(Duration::from_millis(200 + rng.next(6000)));
        for it in &mut deployment.agents {
            if it.has_ended() {
                record.line(&format!("CRASH: agent of {} ended by itself", it.machine.name));
                options.broken.fetch_add(1, Ordering::SeqCst);
                it.kill();
                it.spawn().unwrap();
            }
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut served = 0;
    for key in 0..100 {
        let attempt = Attempt::new("GET", "/lohu930/w1", Some(key * 655), 2000);
        let to = deployment.agents[key as usize % 3].machine.egress();
        served += u32::from(attempt.send(&record, to, false) == 200);
    }
    record.line(&format!("{served} of 100 reads served at the end"));
    is_over.store(true, Ordering::SeqCst);
    for it in threads {
        _ = it.join();
    }
    let broken = options.broken.load(Ordering::SeqCst);
    record.line(&format!("broken {broken}"));
    Ok(u8::from(broken > 0))
}
