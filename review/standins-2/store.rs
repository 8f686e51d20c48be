//! The platform's metadata store, as PROTOCOL.md describes it: it loses nothing, answers within 4 ms, and keeps its
//! whole history.

use std::{
    collections::BTreeMap,
    io::Result,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, serve},
    json::Json,
};

const RESPONSE_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and event of each change.
    events: Vec<(u64, String, Json)>,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn number(it: u64) -> Json {
    Json::Number(it.to_string())
}

fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(fields.into_iter().map(|it| (it.0.to_owned(), it.1)).collect())
}

impl Object {
    fn to_json(&self, name: &str) -> Json {
        let meta = object(vec![
            ("name", Json::Text(name.to_owned())),
            ("revision", number(self.revision)),
            ("created", number(self.created)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        object(vec![("meta", meta), ("spec", self.spec.clone()), ("status", self.status.clone())])
    }
}

pub fn run(listener: TcpListener) -> ! {
    let store = Arc::new(Store::default());
    store.state.lock().unwrap().revision = 100;
    serve(listener, move |connection: &mut Connection| {
        let request = connection.read()?;
        thread::sleep(RESPONSE_TIME);
        let (status, body) = store.respond(&request);
        answer(connection, status, &body)
    })
}

fn answer(connection: &mut Connection, status: u16, body: &Json) -> Result<()> {
    let headers = [("content-type", "application/json"), ("store-era", "0")];
    connection.write(&format!("HTTP/1.1 {status} -"), &headers, body.to_string().as_bytes())
}

impl Store {
    fn respond(&self, request: &Message) -> (u16, Json) {
        let none = || object(Vec::new());
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let Some(location) = path.strip_prefix("/-/objects/") else { return (404, none()) };
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map(|it| it.1)
        };
        let (kind, name) = location.split_once('/').unwrap_or((location, ""));
        if let Some(after) = query("watch") {
            let wait_ms = query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
            return self.watch(kind, after.parse().unwrap_or(0), Duration::from_millis(wait_ms));
        }
        let mut state = self.state.lock().unwrap();
        if request.method() == "GET" && name.is_empty() {
            let after = query("after").unwrap_or("");
            let listed =
                state.objects.iter().filter(|it| it.0.0 == kind && it.0.1.as_str() > after);
            let items = listed.map(|(key, it)| it.to_json(&key.1)).collect();
            let list = vec![
                ("items", Json::List(items)),
                ("more", Json::Bool(false)),
                ("store_revision", number(state.revision)),
            ];
            return (200, object(list));
        }
        let body = Json::parse(&request.text()).unwrap_or_default();
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let name = match name {
            "" => body.get("meta").get("name").text().unwrap_or_default().to_owned(),
            name => name.to_owned(),
        };
        let expected = body.get("meta").get("revision").number().map(|it| it as u64);
        let expected = expected.or_else(|| query("revision").and_then(|it| it.parse().ok()));
        let key = (kind.to_owned(), name.clone());
        let current = state.objects.get(&key).cloned();
        match (request.method(), current) {
            ("GET", Some(current)) => (200, current.to_json(&name)),
            ("GET" | "PUT" | "DELETE", None) => (404, none()),
            ("POST", Some(current)) => (409, current.to_json(&name)),
            (_, Some(current)) if expected.is_some_and(|it| it != current.revision) => {
                (409, current.to_json(&name))
            }
            ("DELETE", Some(current)) => {
                state.objects.remove(&key);
                self.record(&mut state, kind, current.to_json(&name), true);
                (200, current.to_json(&name))
            }
            ("POST" | "PUT", current) => {
                let revision = state.revision + 1;
                let mut next = current.clone().unwrap_or(Object {
                    revision,
                    created: revision,
                    spec: Json::Null,
                    status: Json::Null,
                });
                let changed = body.get(if is_status { "status" } else { "spec" }).clone();
                let part = if is_status { &mut next.status } else { &mut next.spec };
                let is_same = current.is_some() && *part == changed;
                *part = changed;
                if !is_same {
                    next.revision = revision;
                    state.objects.insert(key, next.clone());
                    self.record(&mut state, kind, next.to_json(&name), false);
                }
                (200, next.to_json(&name))
            }
            _ => (405, none()),
        }
    }

    fn record(&self, state: &mut State, kind: &str, changed: Json, deleted: bool) {
        state.revision += 1;
        let event = object(vec![("object", changed), ("deleted", Json::Bool(deleted))]);
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Json) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|it| it.0 > after && it.1 == kind);
            let events: Vec<Json> = events.map(|it| it.2.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = number(state.revision);
                return (
                    200,
                    object(vec![("events", Json::List(events)), ("store_revision", revision)]),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
