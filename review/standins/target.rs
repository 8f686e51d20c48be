//! A target, as the page PROTOCOL tells it: slots and a short queue, keys by heartbeats, its own beats.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    json::Json,
    mesh::Machine,
    record::Record,
};

pub const BEAT: Duration = Duration::from_millis(870);

#[derive(Clone)]
pub struct Options {
    pub capacity: usize,
    pub queue: usize,
    /// Whether the service is divided by key. Keys are then granted in the answers to beats.
    pub sharded: bool,
    /// Whether a second copy of a refusal of a `POST` comes late, at the point where the next answer on its
    /// connection is expected.
    pub repeats_refusals: bool,
    /// For every 32nd key, the highest fence with which a target has held it, and that target.
    pub fences: Option<Arc<Mutex<Vec<(u64, String)>>>>,
    /// The requests that run: the machine, the key, and when the hold ends under which each began.
    pub work: Arc<Mutex<Vec<(String, u32, Instant)>>>,
    /// How often a rule was seen broken.
    pub broken: Arc<AtomicU64>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            capacity: 12,
            queue: 6,
            sharded: false,
            repeats_refusals: false,
            fences: None,
            work: Arc::default(),
            broken: Arc::default(),
        }
    }
}

struct Hold {
    from: u32,
    to: u32,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct Work {
    running: usize,
    waiting: usize,
}

#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: f64,
    pub body: String,
}

#[derive(Clone)]
pub struct Target {
    inner: Arc<Inner>,
}

pub struct Inner {
    pub id: String,
    born: AtomicU64,
    machine: Machine,
    options: Options,
    record: Record,
    work: Mutex<Work>,
    freed: Condvar,
    holds: Mutex<Vec<Hold>>,
    /// The highest fence seen on each key.
    seen: Mutex<Vec<u64>>,
    /// Keys that are given up and on which requests still run.
    closing: Mutex<Vec<Hold>>,
    released: Mutex<Vec<(u32, u32, String)>>,
    sequence: AtomicU64,
    is_beating: AtomicBool,
    /// Whether the beats are lost on their way.
    pub is_unheard: AtomicBool,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// The `POST` requests that began to run.
    pub runs: Mutex<Vec<Run>>,
    pub answers: AtomicU64,
    pub extra_answers: AtomicU64,
}

impl std::ops::Deref for Target {
    type Target = Inner;
    fn deref(&self) -> &Inner {
        &self.inner
    }
}

impl Target {
    pub fn start(record: &Record, machine: &Machine, options: Options) -> std::io::Result<Target> {
        let listener = TcpListener::bind(machine.upstream())?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let inner = Inner {
            id: format!("i-{:x}-{}", born & 0xffff_ffff, machine.ip.octets()[3]),
            born: AtomicU64::new(born),
            machine: machine.clone(),
            options,
            record: record.clone(),
            work: Mutex::default(),
            freed: Condvar::new(),
            holds: Mutex::default(),
            seen: Mutex::new(vec![0; 65_536]),
            closing: Mutex::default(),
            released: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            is_unheard: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            answers: AtomicU64::new(0),
            extra_answers: AtomicU64::new(0),
        };
        let target = Target { inner: Arc::new(inner) };
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(clone) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(clone);
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = target.clone();
        thread::spawn(move || beating.beat_forever());
        Ok(target)
    }

    /// The target ends: its address refuses connections, and the open ones break off.
    pub fn exit(&self) {
        self.stop_beats();
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        drop(TcpStream::connect(self.machine.upstream()));
        for it in self.connections.lock().unwrap().drain(..) {
            _ = it.shutdown(Shutdown::Both);
        }
        self.line("ends");
    }

    /// The target crashes and starts again under its id. It holds and knows nothing of before.
    pub fn restart(&self) {
        for it in self.connections.lock().unwrap().drain(..) {
            _ = it.shutdown(Shutdown::Both);
        }
        self.holds.lock().unwrap().clear();
        self.closing.lock().unwrap().clear();
        self.released.lock().unwrap().clear();
        self.seen.lock().unwrap().fill(0);
        self.sequence.store(0, Ordering::SeqCst);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        self.born.store(now, Ordering::SeqCst);
        self.line("crashes and starts again");
    }

    /// A heartbeat of another writer, in which fields are missing.
    pub fn foreign_beat(&self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{now},\"info\":{{\"service\":\"{}\",\"capacity\":12}},\"status\":{{\"state\":\"ready\",\"sequence\":1}},\"holds\":[],\"released\":[]}}",
            self.machine.upstream(),
            self.machine.service,
        );
        let host = self.machine.admin().to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let bytes = http::request_bytes("PUT", "/-/instances/i-foreign", &headers, body.as_bytes());
        let answer = self.send(&bytes).map(|it| String::from_utf8_lossy(&it.body).into_owned());
        self.line(&format!("a heartbeat of another writer is answered {answer:?}"));
    }

    fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }

    pub fn stop_beats(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
    }

    fn line(&self, text: &str) {
        self.record.line(&format!("target of {} ({}) {text}", self.machine.name, self.id));
    }

    pub fn holds_key(&self, key: u32) -> bool {
        let now = Instant::now();
        let holds = self.holds.lock().unwrap();
        holds.iter().any(|it| (it.from..=it.to).contains(&key) && now < it.until)
    }

    // Beats.

    /// The bytes of the next beat.
    pub fn next_beat(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let mut body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"capacity\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmup_left_s\":0}}",
            self.machine.upstream(),
            self.born(),
            self.machine.service,
            self.machine.zone,
            self.options.capacity,
        );
        if self.options.sharded {
            let now = Instant::now();
            let mut holds = self.holds.lock().unwrap();
            holds.retain(|it| now < it.until);
            let mut closing = self.closing.lock().unwrap();
            let ended = closing.extract_if(.., |it| !self.works_on(it.from, it.to));
            let tokens = ended.map(|it| (it.from, it.to, format!("{:016x}", it.fence)));
            self.released.lock().unwrap().extend(tokens.collect::<Vec<_>>());
            let rows: Vec<String> = holds
                .iter()
                .chain(closing.iter())
                .map(|it| format!("[{},{},{}]", it.from, it.to, it.fence))
                .collect();
            let released: Vec<String> = self
                .released
                .lock()
                .unwrap()
                .iter()
                .map(|it| format!("[{},{},\"{}\"]", it.0, it.1, it.2))
                .collect();
            body +=
                &format!(",\"holds\":[{}],\"released\":[{}]", rows.join(","), released.join(","));
        }
        body += "}";
        self.call_bytes("PUT", body.as_bytes())
    }

    fn call_bytes(&self, method: &str, body: &[u8]) -> Vec<u8> {
        let path = format!("/-/instances/{}", self.id);
        let host = self.machine.admin().to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        http::request_bytes(method, &path, &headers, body)
    }

    fn beat_forever(&self) {
        while self.is_beating.load(Ordering::SeqCst) {
            let (sent_at, born) = (Instant::now(), self.born());
            let bytes = self.next_beat();
            let answer = match self.is_unheard.load(Ordering::SeqCst) {
                true => None,
                false => self.send(&bytes),
            };
            let is_releasing = match answer {
                // An answer to an earlier life never reaches this one.
                Some(_) if born != self.born() => false,
                Some(answer) => self.apply(sent_at, &answer),
                None => false,
            };
            let pause = if is_releasing { Duration::from_millis(50) } else { BEAT };
            thread::sleep(pause.saturating_sub(sent_at.elapsed()));
        }
    }

    /// Sends a call to the agent beside the target; the answer counts if it is a success within a second.
    pub fn send(&self, bytes: &[u8]) -> Option<Message> {
        let answer = http::call(self.machine.admin(), bytes, Duration::from_secs(1)).ok()?;
        (200..300).contains(&answer.status()).then_some(answer)
    }

    /// Announces that it leaves. Returns whether that is acknowledged.
    pub fn leave(&self) -> bool {
        self.is_leaving.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.born());
        let is_acknowledged = self.send(&self.call_bytes("DELETE", body.as_bytes())).is_some();
        self.line(&format!("sends DELETE, acknowledged: {is_acknowledged}"));
        is_acknowledged
    }

    /// What a target that leaves says in all its answers.
    fn leaving_header(&self) -> Option<(&'static str, &'static str)> {
        self.is_leaving.load(Ordering::SeqCst).then_some(("Server-Leaving", "1"))
    }

    /// Applies the keys in the answer to a beat. Returns whether keys were released.
    fn apply(&self, sent_at: Instant, answer: &Message) -> bool {
        self.released.lock().unwrap().clear();
        let Some(body) = Json::parse(&answer.body) else { return false };
        let Some(rows) = body.get("holds") else { return false };
        let hold_s = body.get("hold_s").and_then(Json::number).unwrap_or(0.0);
        let until = sent_at + Duration::from_secs_f64(hold_s);
        let mut holds = self.holds.lock().unwrap();
        let number = |it: &Json| it.whole().unwrap_or(0);
        let mut granted: Vec<Hold> = rows
            .list()
            .iter()
            .filter_map(|row| match row.list() {
                [from, to, fence, ..] => Some(Hold {
                    from: number(from) as u32,
                    to: number(to) as u32,
                    fence: number(fence),
                    until,
                }),
                _ => None,
            })
            .collect();
        // A row is not accepted if a higher fence was seen on one of its keys.
        let mut seen = self.seen.lock().unwrap();
        granted.retain(|it| {
            let is_accepted = (it.from..=it.to).all(|key| seen[key as usize] <= it.fence);
            if is_accepted {
                (it.from..=it.to).for_each(|key| seen[key as usize] = it.fence);
            } else {
                self.line(&format!(
                    "does not accept keys {}-{} with fence {}",
                    it.from, it.to, it.fence
                ));
            }
            is_accepted
        });
        drop(seen);
        self.check_fences(&holds, &granted);
        let now = Instant::now();
        let is_left_out =
            |it: &Hold| !granted.iter().any(|new| new.from <= it.from && it.to <= new.to);
        let mut closing = self.closing.lock().unwrap();
        let left_out: Vec<Hold> =
            holds.extract_if(.., |it| now < it.until && is_left_out(it)).collect();
        let is_releasing = !left_out.is_empty() || !closing.is_empty();
        closing.extend(left_out);
        let fences =
            |all: &[Hold]| all.iter().map(|it| (it.from, it.to, it.fence)).collect::<Vec<_>>();
        let (former, now_held) = (fences(&holds), fences(&granted));
        if former != now_held && self.options.fences.is_some() {
            self.line(&format!("is to hold {now_held:?}"));
        }
        self.check_work(&holds, &granted);
        *holds = granted;
        is_releasing
    }

    /// Whether requests on these keys run here.
    fn works_on(&self, from: u32, to: u32) -> bool {
        let work = self.options.work.lock().unwrap();
        work.iter().any(|it| it.0 == self.machine.name && (from..=to).contains(&it.1))
    }

    /// Notes a key that is taken while another target is at work on it and that one's hold has not run out.
    fn check_work(&self, held: &[Hold], granted: &[Hold]) {
        let now = Instant::now();
        let is_new =
            |key| !held.iter().any(|it| (it.from..=it.to).contains(&key) && now < it.until);
        let work = self.options.work.lock().unwrap();
        for (machine, key, until) in work.iter() {
            let is_taken = granted.iter().any(|it| (it.from..=it.to).contains(key)) && is_new(*key);
            if is_taken && *machine != self.machine.name && now < *until {
                self.line(&format!(
                    "OWNER: takes key {key}, on which {machine} is at work for up to {:?} more",
                    *until - now
                ));
                self.options.broken.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    /// Notes a key that is taken with a fence which isn't above all with which other targets had it.
    fn check_fences(&self, held: &[Hold], granted: &[Hold]) {
        let Some(fences) = &self.options.fences else { return };
        let mut fences = fences.lock().unwrap();
        for it in granted {
            let is_known = held
                .iter()
                .any(|old| old.fence == it.fence && old.from <= it.from && it.to <= old.to);
            let mut worst = None;
            for key in (it.from..=it.to).filter(|key| key % 32 == 0) {
                let (fence, holder) = &mut fences[key as usize / 32];
                let own = format!("{}#{}", self.machine.name, self.born());
                if *holder != own && *fence >= it.fence && !is_known {
                    worst = worst.max(Some((*fence, key)));
                }
                if it.fence > *fence {
                    (*fence, *holder) = (it.fence, own);
                }
            }
            if let Some((fence, key)) = worst {
                self.line(&format!("OWNER: takes keys {}-{} with fence {}, but key {key} was held elsewhere with {fence}", it.from, it.to, it.fence));
                self.options.broken.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    // Requests.

    fn serve(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader, false) {
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            if let Some(extra) = late.take() {
                self.extra_answers.fetch_add(1, Ordering::Relaxed);
                self.line("sends a second copy of its refusal, late");
                if reader.get_mut().write_all(&extra).is_err() {
                    return;
                }
            }
            let (is_refusal, bytes) = self.answer(&request);
            self.answers.fetch_add(1, Ordering::Relaxed);
            if is_refusal && request.first[0] == "POST" && self.options.repeats_refusals {
                late = Some(bytes.clone());
            }
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Returns whether the request is refused, and the answer.
    fn answer(&self, request: &Message) -> (bool, Vec<u8>) {
        let [method, path, _] = &request.first;
        let id = request.header("pomelohill-request-id").unwrap_or("");
        let is_post = method == "POST";
        let refuse = |status: &str, reason: &str| {
            if is_post {
                self.line(&format!("refuses {id}: {reason}"));
            }
            let mut headers = vec![("Pomelohill-Not-Executed", "1"), ("Pomelohill-Request-Id", id)];
            headers.extend(self.leaving_header());
            (true, http::response_bytes(status, &headers, b""))
        };
        if id.is_empty() {
            return refuse("400 Bad Request", "no id");
        }
        if request.header("pomelohill-expect-instance").is_some_and(|it| it != self.id) {
            return refuse("421 Misdirected Request", "another instance is expected");
        }
        let key = request.header("pomelohill-shard-key").and_then(|it| it.parse().ok());
        if self.options.sharded && key.is_some_and(|it| !self.holds_key(it)) {
            return refuse("421 Misdirected Request", "key not held");
        }
        let deadline_ms = request.header("pomelohill-deadline-ms").and_then(|it| it.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(1000));
        let mut work = self.work.lock().unwrap();
        if work.running >= self.options.capacity && work.waiting >= self.options.queue {
            drop(work);
            return refuse("503 Service Unavailable", "full");
        }
        work.waiting += 1;
        while work.running >= self.options.capacity {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                work.waiting -= 1;
                drop(work);
                return refuse("503 Service Unavailable", "the deadline passed in the queue");
            }
            work = self.freed.wait_timeout(work, left).unwrap().0;
        }
        work.waiting -= 1;
        work.running += 1;
        drop(work);
        if is_post {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let run = Run { id: id.to_owned(), at: self.record.now(), body };
            self.runs.lock().unwrap().push(run);
            self.line(&format!("runs {id} {method} {path}"));
        }
        let hold_until = key.and_then(|key: u32| {
            let holds = self.holds.lock().unwrap();
            let hold = holds.iter().find(|it| (it.from..=it.to).contains(&key))?;
            Some((key, hold.until))
        });
        if let Some((key, until)) = hold_until {
            self.options.work.lock().unwrap().push((self.machine.name.clone(), key, until));
        }
        let digits = path.rsplit_once("/w").map_or("0", |it| it.1);
        thread::sleep(Duration::from_millis(digits.parse().unwrap_or(0)));
        if let Some((key, _)) = hold_until {
            let mut work = self.options.work.lock().unwrap();
            let at = work.iter().position(|it| it.0 == self.machine.name && it.1 == key);
            at.map(|it| work.swap_remove(it));
        }
        self.work.lock().unwrap().running -= 1;
        self.freed.notify_all();
        if is_post {
            self.line(&format!("answers {id} with 200"));
        }
        let signature = format!("sig.{}.{id}", self.id);
        let mut headers = vec![
            ("Pomelohill-Request-Id", id),
            ("Pomelohill-Server-Signature", signature.as_str()),
        ];
        headers.extend(self.leaving_header());
        (false, http::response_bytes("200 OK", &headers, format!("done by {}", self.id).as_bytes()))
    }
}
