//! An in-memory platform that serves the object API over HTTP.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A server on a free port. It runs until the process exits.
pub(crate) struct FakePlatform {
    address: SocketAddr,
    store: Arc<Mutex<Store>>,
}

#[derive(Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<String, (u64, String)>,
    /// Fault that the next update meets.
    fault: Option<Fault>,
    /// Returns the objects that are written right after the next update, in place of a coordinator.
    follow_up: Option<FollowUp>,
}

/// A fault of the next update.
pub(crate) enum Fault {
    /// The update is applied, but its answer is lost.
    LostAnswer,
    /// Another writer writes this text just before the update.
    ConcurrentWrite(String),
    /// This update and all later ones are answered with status 503.
    Down,
}

/// Returns paths and bodies of the objects to write after an update that got the given version.
type FollowUp = Box<dyn FnOnce(u64) -> Vec<(String, String)> + Send>;

struct Request {
    method: String,
    target: String,
    condition: Option<u64>,
    body: String,
}

impl FakePlatform {
    pub(crate) fn start() -> FakePlatform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Mutex::new(Store::default()));
        thread::spawn({
            let store = Arc::clone(&store);
            move || {
                for stream in listener.incoming() {
                    let store = Arc::clone(&store);
                    thread::spawn(move || serve_connection(stream.unwrap(), &store));
                }
            }
        });
        FakePlatform { address, store }
    }

    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Writes an object and returns its version.
    pub(crate) fn put(&self, path: &str, body: &str) -> u64 {
        self.store.lock().unwrap().put(path, body)
    }

    pub(crate) fn body(&self, path: &str) -> Option<String> {
        self.store.lock().unwrap().objects.get(path).map(|it| it.1.clone())
    }

    pub(crate) fn fail_next(&self, fault: Fault) {
        self.store.lock().unwrap().fault = Some(fault);
    }

    pub(crate) fn write_after_next_update(
        &self,
        follow_up: impl FnOnce(u64) -> Vec<(String, String)> + Send + 'static,
    ) {
        self.store.lock().unwrap().follow_up = Some(Box::new(follow_up));
    }
}

impl Store {
    fn put(&mut self, path: &str, body: &str) -> u64 {
        self.revision += 1;
        self.objects.insert(path.to_owned(), (self.revision, body.to_owned()));
        self.revision
    }

    /// Applies an update and returns its answer, or `None` if the answer is to be lost.
    fn update(&mut self, path: &str, condition: Option<u64>, body: &str) -> Option<String> {
        let fault = self.fault.take();
        if let Some(Fault::Down) = fault {
            self.fault = fault;
            return Some(response("503 Service Unavailable", "", "down"));
        }
        if let Some(Fault::ConcurrentWrite(text)) = &fault {
            self.put(path, text);
        }
        let current = self.objects.get(path).map_or(0, |it| it.0);
        if condition.is_some_and(|it| it != current) {
            return Some(response("409 Conflict", &format!("x-object-version: {current}\r\n"), ""));
        }
        let version = self.put(path, body);
        let written = self.follow_up.take().map(|it| it(version)).unwrap_or_default();
        written.iter().for_each(|it| _ = self.put(&it.0, &it.1));
        match fault {
            Some(Fault::LostAnswer) => None,
            _ => Some(response("200 OK", &format!("x-object-version: {version}\r\n"), "")),
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<String> {
        let under = self.objects.iter().filter(|it| it.0.starts_with(prefix) && it.1.0 > after);
        let list: Vec<serde_json::Value> = under
            .map(|(path, it)| json!({ "path": path, "version": it.0, "body": it.1 }))
            .collect();
        let header = format!("x-revision: {}\r\n", self.revision);
        (!list.is_empty()).then(|| response("200 OK", &header, &json!(list).to_string()))
    }
}

fn serve_connection(stream: TcpStream, store: &Mutex<Store>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let Some(response) = respond(&request, store) else { return };
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|it| *it > 0)?;
    let mut words = first.split_whitespace().map(str::to_owned);
    let (method, target) = (words.next()?, words.next()?);
    let (mut condition, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("content-length", value)) => length = value.parse().unwrap(),
            Some(("if-object-version", value)) => condition = Some(value.parse().unwrap()),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, condition, body: String::from_utf8(body).unwrap() })
}

fn respond(request: &Request, store: &Mutex<Store>) -> Option<String> {
    let target = request.target.trim_start_matches('/');
    let (kind, path) = target.split_once('/').unwrap();
    match (request.method.as_str(), kind) {
        ("PUT", "objects") => store.lock().unwrap().update(path, request.condition, &request.body),
        ("GET", "objects") => Some(match store.lock().unwrap().objects.get(path) {
            Some((version, body)) => {
                response("200 OK", &format!("x-object-version: {version}\r\n"), body)
            }
            None => response("404 Not Found", "", ""),
        }),
        ("GET", "list") => {
            let store = store.lock().unwrap();
            let empty = || response("200 OK", &format!("x-revision: {}\r\n", store.revision), "[]");
            Some(store.changes(path, 0).unwrap_or_else(empty))
        }
        ("GET", "watch") => Some(watch(path, store)),
        _ => Some(response("400 Bad Request", "", "no such call")),
    }
}

fn watch(target: &str, store: &Mutex<Store>) -> String {
    let (prefix, query) = target.split_once("?after=").unwrap();
    let (after, wait_ms) = query.split_once("&wait_ms=").unwrap();
    let end = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap());
    loop {
        if let Some(response) = store.lock().unwrap().changes(prefix, after.parse().unwrap()) {
            return response;
        }
        if Instant::now() >= end {
            return "HTTP/1.1 204 No Content\r\n\r\n".to_owned();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
