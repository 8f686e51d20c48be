//! The platform's store, as the page PROTOCOL tells it.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{Json, quote},
};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    finalizers: String,
    spec: String,
    status: String,
}

impl Object {
    fn write(&self) -> String {
        format!(
            "{{\"meta\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":{},\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            quote(&self.name),
            self.revision,
            self.created,
            self.finalizers,
            self.spec,
            self.status
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    copies: Vec<Copy>,
}

/// The objects as they were at some time.
struct Copy {
    at: Instant,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    era: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
    /// Whether some of the writes are done seconds later and not answered.
    pub is_losing: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let store = Store::default();
        store.shared.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// What the operator writes.
    pub fn put_config(&self, spec: &str) {
        self.put("config", "main", None, spec.to_owned(), true);
    }

    /// The store is away for a moment and comes back from a copy some seconds old. What the operator wrote is there.
    pub fn drill(&self, away: Duration, age: Duration) -> (u64, u64) {
        self.is_away.store(true, Ordering::SeqCst);
        let now = Instant::now();
        thread::sleep(away);
        let mut state = self.shared.0.lock().unwrap();
        let from = state.revision;
        let copy = state.copies.iter().rposition(|it| it.at + age <= now).unwrap_or(0);
        state.revision = state.copies[copy].revision;
        state.objects = state.copies[copy].objects.clone();
        let to = state.revision;
        state.copies.truncate(copy + 1);
        state.events.retain(|it| it.revision <= to);
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
        drop(state);
        self.shared.1.notify_all();
        (from, to)
    }

    /// Writes down all objects that the system itself has written.
    pub fn dump(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        let own = state.objects.iter().filter(|it| it.0.0 != "config");
        let rows: Vec<String> = own
            .map(|((kind, name), it)| format!("[{},{},{}]", quote(kind), quote(name), it.spec))
            .collect();
        format!("[\n{}\n]\n", rows.join(",\n"))
    }

    /// Loads what was written down. Returns whether it could be read.
    pub fn load(&self, dump: &str) -> bool {
        let Some(rows) = Json::parse(dump.as_bytes()) else { return false };
        for row in rows.list() {
            let [Json::Text(kind), Json::Text(name), spec] = row.list() else { return false };
            self.put(kind, name, None, spec.write(), true);
        }
        true
    }

    /// The first object of a kind, as the store has it.
    pub fn object(&self, kind: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.objects.iter().find(|it| it.0.0 == kind).map(|it| it.1.spec.clone())
    }

    fn serve(&self, stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader, false) {
            // An answer takes 4 ms on the users' platform.
            thread::sleep(Duration::from_millis(4));
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let era = self.era.load(Ordering::SeqCst);
            if self.is_losing.load(Ordering::SeqCst) && request.first[0] != "GET" && is_unlucky() {
                let store = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(
                        1000 + u64::from(request.body.len() as u32 % 5) * 1000,
                    ));
                    if era == store.era.load(Ordering::SeqCst) {
                        store.answer(&request, era);
                    }
                });
                return;
            }
            let (status, body) = self.answer(&request, era);
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let bytes = http::response_bytes(status, &headers, body.as_bytes());
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, era: u64) -> (&'static str, String) {
        let [method, target, _] = &request.first;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            query
                .split('&')
                .find_map(|it| it.split_once('=').filter(|it| it.0 == name))
                .map(|it| it.1)
        };
        let parts: Vec<&str> = path.trim_start_matches("/-/objects/").split('/').collect();
        let body = Json::parse(&request.body);
        let meta = body.as_ref().and_then(|it| it.get("meta"));
        let name_in_body = meta.and_then(|it| it.get("name")).and_then(Json::text);
        let number = |it: &Json| it.number().map(|it| it as u64);
        let revision = meta.and_then(|it| it.get("revision")).and_then(number);
        let revision = revision.or_else(|| query("revision").and_then(|it| it.parse().ok()));
        let field = |name: &str| {
            body.as_ref().and_then(|it| it.get(name)).map_or("null".to_owned(), Json::write)
        };
        match (method.as_str(), &parts[..]) {
            ("GET", [kind]) if query("watch").is_some() => {
                let after = query("watch").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                self.watch(kind, after, Duration::from_millis(wait), era)
            }
            ("GET", [kind]) => {
                let state = self.shared.0.lock().unwrap();
                let after = query("after").unwrap_or("");
                let items =
                    state.objects.iter().filter(|it| it.0.0 == *kind && it.0.1.as_str() > after);
                let items: Vec<String> = items.map(|it| it.1.write()).collect();
                let text = format!(
                    "{{\"items\":[{}],\"more\":false,\"store_revision\":{}}}",
                    items.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            ("GET", [kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(it) => ("200 OK", it.write()),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST", [kind]) => self.create(kind, name_in_body.unwrap_or(""), field("spec")),
            ("PUT", [kind, name]) => self.put(kind, name, revision, field("spec"), false),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn create(&self, kind: &str, name: &str, spec: String) -> (&'static str, String) {
        {
            let state = self.shared.0.lock().unwrap();
            if let Some(it) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
                return ("409 Conflict", it.write());
            }
        }
        self.put(kind, name, None, spec, true)
    }

    fn put(
        &self,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        spec: String,
        may_create: bool,
    ) -> (&'static str, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let former = state.objects.get(&key).cloned();
        match &former {
            None if !may_create => return ("404 Not Found", "{}".to_owned()),
            Some(it) if revision.is_some_and(|expected| expected != it.revision) => {
                return ("409 Conflict", it.write());
            }
            Some(it) if it.spec == spec => return ("200 OK", it.write()),
            _ => {}
        }
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            name: name.to_owned(),
            revision,
            created: former.as_ref().map_or(revision, |it| it.created),
            finalizers: "[]".to_owned(),
            spec,
            status: former.map_or("null".to_owned(), |it| it.status),
        };
        let text = object.write();
        state.objects.insert(key, object);
        let event = format!("{{\"deleted\":false,\"object\":{text}}}");
        state.events.push(Event { revision, kind: kind.to_owned(), text: event });
        let copy = Copy { at: Instant::now(), revision, objects: state.objects.clone() };
        state.copies.push(copy);
        self.shared.1.notify_all();
        ("200 OK", text)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, era: u64) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.revision || era != self.era.load(Ordering::SeqCst) {
                return ("410 Gone", "{}".to_owned());
            }
            let events = state.events.iter().filter(|it| it.kind == kind && it.revision > after);
            let events: Vec<&str> = events.map(|it| it.text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", text);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Whether this write is one of the third that is lost.
fn is_unlucky() -> bool {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    COUNT.fetch_add(1, Ordering::SeqCst) % 3 == 0
}
