//! A target as PROTOCOL.md describes it: a sound server that runs requests, takes grants and sends heartbeats.

use std::{
    collections::HashMap,
    io::Result,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, call, serve},
    json::Json,
    record::Record,
};

const KEYS: usize = 65_536;
/// Requests that wait for a slot.
const QUEUE_MAX: usize = 48;

pub struct TargetSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Where heartbeats go.
    pub admin: SocketAddr,
    pub capacity: usize,
    pub sharded: bool,
    pub work: Duration,
    pub heartbeat: Duration,
}

#[derive(Clone, Copy, Default)]
struct Hold {
    /// The highest fence seen on the key.
    fence: u64,
    until: Option<Instant>,
    running: u32,
}

struct Target {
    settings: TargetSettings,
    record: Record,
    keys: Mutex<Vec<Hold>>,
    running: Mutex<usize>,
    waiting: AtomicUsize,
    handovers: AtomicUsize,
}

/// Never returns; ends with its process.
pub fn run(settings: TargetSettings, record: Record) -> ! {
    let listener = TcpListener::bind(settings.address).expect("the target's address is free");
    let keys = Mutex::new(vec![Hold::default(); KEYS]);
    let target = Arc::new(Target {
        settings,
        record,
        keys,
        running: Mutex::new(0),
        waiting: AtomicUsize::new(0),
        handovers: AtomicUsize::new(0),
    });
    let beating = Arc::clone(&target);
    thread::spawn(move || beating.beat());
    serve(listener, move |connection: &mut Connection| {
        let request = connection.read()?;
        target.answer(connection, &request)
    })
}

impl Target {
    fn log(&self, text: &str) {
        self.record.line(&format!("{} {} {text}", self.settings.service, self.settings.id));
    }

    fn beat(&self) {
        let TargetSettings { id, service, zone, address, capacity, .. } = &self.settings;
        let mut sequence = 0;
        loop {
            sequence += 1;
            let body = format!(
                r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":{capacity}}},"status":{{"state":"ready","sequence":{sequence},"warmup_left_s":0}}}}"#
            );
            let first = format!("PUT /-/instances/{id} HTTP/1.1");
            let host = self.settings.admin.to_string();
            let headers = [("host", host.as_str()), ("content-type", "application/json")];
            let limit = Duration::from_secs(1);
            if call(self.settings.admin, &first, &headers, body.as_bytes(), limit).is_err() {
                self.log("heartbeat not acknowledged");
            }
            thread::sleep(self.settings.heartbeat);
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> Result<()> {
        match (request.method(), request.path()) {
            ("POST", "/-/grant") => self.grant(connection, request),
            ("POST", "/-/release") => self.release(connection, request),
            ("GET", "/healthz") => self.reply(connection, "200 OK", &[], b""),
            _ => self.work(connection, request),
        }
    }

    fn reply(
        &self,
        connection: &mut Connection,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<()> {
        let mut all = vec![("pomelohill-instance-id", self.settings.id.as_str())];
        all.push(("keep-alive", "timeout=10"));
        all.extend_from_slice(headers);
        connection.write(&format!("HTTP/1.1 {status}"), &all, body)
    }

    fn refuse(&self, connection: &mut Connection, status: &str, id: &str) -> Result<()> {
        let headers = [("pomelohill-request-id", id), ("pomelohill-not-executed", "1")];
        self.reply(connection, status, &headers, b"")
    }

    fn work(&self, connection: &mut Connection, request: &Message) -> Result<()> {
        let Some(id) = request.header("pomelohill-request-id").map(str::to_owned) else {
            return self.refuse(connection, "400 Bad Request", "");
        };
        if request.header("pomelohill-expect-instance").is_some_and(|it| it != self.settings.id) {
            return self.refuse(connection, "421 Misdirected Request", &id);
        }
        let key = match self.settings.sharded {
            true => request.header("pomelohill-shard-key").and_then(|it| it.parse().ok()),
            false => None,
        };
        if self.settings.sharded && !key.is_some_and(|it| self.begin(it)) {
            return self.refuse(connection, "421 Misdirected Request", &id);
        }
        let has_slot = self.take_slot();
        if has_slot {
            let size = request.body.len();
            self.log(&format!("runs {id} {} {} {size}", request.method(), request.path()));
            thread::sleep(self.settings.work);
            *self.running.lock().unwrap() -= 1;
        }
        if let Some(key) = key {
            self.keys.lock().unwrap()[key].running -= 1;
        }
        if !has_slot {
            return self.refuse(connection, "503 Service Unavailable", &id);
        }
        let headers =
            [("pomelohill-request-id", id.as_str()), ("pomelohill-server-signature", "3e1b.07.5a")];
        self.reply(connection, "200 OK", &headers, b"lap 12\n")
    }

    /// Counts a request on a key that is held.
    fn begin(&self, key: usize) -> bool {
        let mut keys = self.keys.lock().unwrap();
        let Some(hold) = keys.get_mut(key) else { return false };
        let is_held = hold.until.is_some_and(|it| Instant::now() < it);
        hold.running += u32::from(is_held);
        is_held
    }

    fn take_slot(&self) -> bool {
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE_MAX {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        loop {
            let mut running = self.running.lock().unwrap();
            if *running < self.settings.capacity {
                *running += 1;
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return true;
            }
            drop(running);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn grant(&self, connection: &mut Connection, request: &Message) -> Result<()> {
        let body = Json::parse(&request.text()).unwrap_or_default();
        let number = |name| body.get(name).number();
        let (Some(from), Some(to), Some(fence), Some(hold_s)) =
            (number("from"), number("to"), number("fence"), number("hold_s"))
        else {
            return self.reply(connection, "400 Bad Request", &[], b"");
        };
        let (from, to, fence) = (from as usize, to as usize, fence as u64);
        let until = Instant::now() + Duration::from_secs_f64(hold_s);
        let is_accepted = {
            let mut keys = self.keys.lock().unwrap();
            let range = &mut keys[from..=to];
            let is_accepted = range.iter().all(|it| it.fence <= fence);
            if is_accepted {
                range.iter_mut().for_each(|it| {
                    it.fence = fence;
                    it.until = Some(until);
                });
            }
            is_accepted
        };
        if is_accepted {
            self.log(&format!("holds {from} {to} {fence} {hold_s}"));
            return self.reply(connection, "200 OK", &[], b"");
        }
        self.log(&format!("refuses {from} {to} {fence}"));
        self.reply(connection, "409 Conflict", &[], b"")
    }

    fn release(&self, connection: &mut Connection, request: &Message) -> Result<()> {
        let body = Json::parse(&request.text()).unwrap_or_default();
        let number = |name| body.get(name).number().unwrap_or(0.0);
        let (from, to, fence) =
            (number("from") as usize, number("to") as usize, number("fence") as u64);
        self.keys.lock().unwrap()[from..=to].iter_mut().for_each(|it| {
            it.fence = it.fence.max(fence);
            it.until = None;
        });
        self.log(&format!("releases {from} {to} {fence}"));
        while self.keys.lock().unwrap()[from..=to].iter().any(|it| it.running > 0) {
            thread::sleep(Duration::from_millis(2));
        }
        let count = self.handovers.fetch_add(1, Ordering::SeqCst);
        let handover = format!("{}-{count}", self.settings.id);
        self.reply(connection, "200 OK", &[("pomelohill-lease-handover", &handover)], b"")
    }
}

/// Reads `--name value` pairs.
pub fn options(words: &[String]) -> HashMap<String, String> {
    let pairs = words.chunks(2).filter(|it| it.len() == 2);
    pairs.map(|it| (it[0].trim_start_matches('-').to_owned(), it[1].clone())).collect()
}
