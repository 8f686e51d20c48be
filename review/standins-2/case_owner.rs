//! A target of a quiet, sharded service crashes and starts again at its address, with a new id. Its heartbeats
//! begin at once. OWNER: no target takes a key with a fence that is not above all with which other targets had it.

use std::{path::Path, thread, time::Duration};

use crate::world::World;

const CONFIG: &str = r#"{"version":"r1","services":[{"name":"standings","health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false,"sharded":true,"warm_s":2.0,"grants":"request"}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"hosts":[{"host":"meet.example","paths":[{"name":"heat","path_prefix":"/heat/","type":"idempotent","timeout_s":1.2,"target_latency_s":0.6,"priority":2,"service":"standings","attempts":2}]}]}"#;
/// How long the crashed target is down; site files have 4.5 s.
const DOWN: Duration = Duration::from_millis(500);

/// A range of keys that a target has accepted.
struct Taken {
    target: String,
    from: u64,
    to: u64,
    fence: u64,
}

pub fn run(record: &Path, has_trouble: bool) -> Result<bool, String> {
    let services = ["standings"; 3];
    let mut world = World::start(record, CONFIG, &services)?;
    let mut targets = Vec::new();
    for index in 0..services.len() {
        targets.push(Some(world.start_target(
            index,
            &format!("i-{index}a"),
            "standings",
            true,
            50,
        )?));
        world.start_agent(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    // The keys have been granted and planned moves have ended.
    thread::sleep(Duration::from_secs(8));
    if taken(&world).is_empty() {
        return Err("no target was granted keys".to_owned());
    }
    if has_trouble {
        world.record.line("trouble: target i-0a crashes");
        targets[0] = None;
        thread::sleep(DOWN);
        targets[0] = Some(world.start_target(0, "i-0b", "standings", true, 50)?);
    }
    thread::sleep(Duration::from_secs(8));
    for index in 0..services.len() {
        world.kill_agent(index);
    }
    drop(targets);
    let all = taken(&world);
    let mut has_held = true;
    for (at, new) in all.iter().enumerate() {
        let is_earlier = |it: &&Taken| {
            it.target != new.target
                && it.from <= new.to
                && new.from <= it.to
                && it.fence >= new.fence
        };
        let Some(earlier) = all[..at].iter().find(is_earlier) else { continue };
        if std::mem::replace(&mut has_held, false) {
            let text = format!(
                "OWNER broken: {} takes keys {} to {} with fence {}; {} had keys {} to {} with fence {}",
                new.target,
                new.from,
                new.to,
                new.fence,
                earlier.target,
                earlier.from,
                earlier.to,
                earlier.fence
            );
            println!("{text}");
            world.record.line(&text);
        }
    }
    Ok(has_held)
}

/// All accepted grants, in their order.
fn taken(world: &World) -> Vec<Taken> {
    let text = std::fs::read_to_string(&world.record_path).unwrap_or_default();
    let parse = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let ["standings", target, "holds", from, to, fence, _] = words.get(1..)? else {
            return None;
        };
        Some(Taken {
            target: (*target).to_owned(),
            from: from.parse().ok()?,
            to: to.parse().ok()?,
            fence: fence.parse().ok()?,
        })
    };
    text.lines().filter_map(parse).collect()
}
