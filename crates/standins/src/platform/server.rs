//! The HTTP server of the object API.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, Method, StatusCode, Uri,
    header::{CONTENT_TYPE, HeaderName},
    request::Parts,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use volo::net::incoming::DefaultIncoming;
use volo_http::{
    body::BodyConversion,
    request::Request,
    response::Response,
    server::{Router, Server},
};

use super::{
    faults::{Counts, Faults},
    store::{Conflict, ObjectEntry, Store},
};
use crate::http::{
    bind, close_connection, json_response, print_address, text_response, with_header,
};

const VERSION: HeaderName = HeaderName::from_static("x-object-version");
const EXPECTED_VERSION: HeaderName = HeaderName::from_static("if-object-version");
const REVISION: HeaderName = HeaderName::from_static("x-revision");
const ERA: HeaderName = HeaderName::from_static("x-store-era");
/// Maximum size of an object's value.
const BODY_MAX_BYTES: usize = 1 << 20;
/// Maximum time for which a watch waits.
const WATCH_MAX: Duration = Duration::from_secs(300);

/// Flags of `standin-platform`.
#[derive(Debug)]
#[derive(gumdrop::Options)]
pub struct PlatformOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "IP:PORT to listen on; port 0 selects a free port", default = "127.0.0.1:0")]
    pub listen: String,
}

/// Runs the server until a signal ends the process.
pub async fn run(options: PlatformOptions) -> anyhow::Result<()> {
    let address: SocketAddr = options.listen.parse()?;
    let (listener, bound) = bind(address).await?;
    print_address(bound)?;
    serve(listener).await
}

/// Serves an empty store on a listener.
pub(crate) async fn serve(listener: TcpListener) -> anyhow::Result<()> {
    let server = Arc::new(PlatformServer::new());
    let handler = {
        let server = Arc::clone(&server);
        move |request: Request| async move {
            let (parts, body) = request.into_parts();
            match body.into_bytes().await {
                Ok(body) => server.handle(parts, body).await,
                Err(_) => text_response(StatusCode::BAD_REQUEST, "the body broke off"),
            }
        }
    };
    Server::new(Router::new().fallback(handler))
        // The store is only in memory, so the process exits at once, without waiting for watches.
        .register_shutdown_hook(|| Box::pin(async { std::process::exit(0) }))
        .run(DefaultIncoming::from(listener))
        .await
        .map_err(|error| anyhow::anyhow!("serving: {error}"))
}

struct PlatformServer {
    state: Mutex<ServerState>,
    /// The store's revision; a change wakes waiting watches.
    revision: watch::Sender<u64>,
    faults: watch::Sender<Faults>,
}

#[derive(Default)]
struct ServerState {
    store: Store,
    counts: Counts,
}

struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

/// Guard that counts a watch as waiting until it is dropped.
struct WaitingWatchGuard<'a>(&'a PlatformServer);

impl<'a> WaitingWatchGuard<'a> {
    fn new(server: &'a PlatformServer) -> WaitingWatchGuard<'a> {
        server.lock_state().counts.watches_waiting += 1;
        WaitingWatchGuard(server)
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock_state().counts.watches_waiting -= 1;
    }
}

impl PlatformServer {
    fn new() -> PlatformServer {
        PlatformServer {
            state: Mutex::default(),
            revision: watch::Sender::new(0),
            faults: watch::Sender::default(),
        }
    }

    /// Locks the state. A poisoned lock is ignored: `close_connection` panics only while the lock is not held.
    fn lock_state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, parts: Parts, body: Bytes) -> Response {
        let Parts { method, uri, headers, .. } = parts;
        let path = uri.path().trim_start_matches('/');
        match path {
            "admin/fault" if method == Method::POST => return self.set_faults(&body),
            "admin/keep-copy" if method == Method::POST => {
                self.lock_state().store.take_snapshot();
                return text_response(StatusCode::OK, "");
            }
            "admin/roll-back" if method == Method::POST => {
                let revision = {
                    let store = &mut self.lock_state().store;
                    store.restore_snapshot();
                    store.revision()
                };
                self.revision.send_replace(revision);
                return text_response(StatusCode::OK, "");
            }
            "admin/counts" => return json_response(&self.lock_state().counts),
            _ => {}
        }
        self.apply_faults().await;
        let era = self.lock_state().store.era();
        let response = self.handle_object_call(path, method, &uri, &headers, body).await;
        // The era is read before the call: an answer made before a rollback belongs to the earlier era.
        if era == 0 { response } else { with_header(response, ERA, era) }
    }

    async fn handle_object_call(
        &self,
        path: &str,
        method: Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Response {
        match path.split_once('/') {
            Some(("objects", path)) if method == Method::GET => self.read(path),
            Some(("objects", path)) if method == Method::PUT => {
                self.update(path, headers, Some(body))
            }
            Some(("objects", path)) if method == Method::DELETE => self.update(path, headers, None),
            Some(("list", prefix)) if method == Method::GET => self.list(prefix),
            Some(("watch", prefix)) if method == Method::GET => {
                self.watch(prefix, uri.query().unwrap_or("")).await
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Sets the faults that the body names and leaves the others unchanged.
    fn set_faults(&self, body: &[u8]) -> Response {
        let current = *self.faults.borrow();
        match merge_faults(current, body) {
            Ok(faults) => {
                log::info!(target: "platform", "Faults were set to {faults:?}.");
                self.faults.send_replace(faults);
                json_response(&faults)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn apply_faults(&self) {
        let faults = *self.faults.borrow();
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if self.faults.borrow().down {
            close_connection();
        }
    }

    fn read(&self, path: &str) -> Response {
        let mut state = self.lock_state();
        state.counts.reads += 1;
        match state.store.read(path) {
            Some((version, body)) => {
                with_header(text_response(StatusCode::OK, body), VERSION, version)
            }
            None => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn update(&self, path: &str, headers: &HeaderMap, body: Option<Bytes>) -> Response {
        if body.as_ref().is_some_and(|it| it.len() > BODY_MAX_BYTES) {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "a value has at most 1 MB");
        }
        let Ok(body) = body.map(|it| String::from_utf8(it.to_vec())).transpose() else {
            return text_response(StatusCode::BAD_REQUEST, "a value is UTF-8 text");
        };
        let expected = match headers.get(EXPECTED_VERSION).map(|it| it.to_str()) {
            None => None,
            Some(Ok(text)) if text.parse::<u64>().is_ok() => text.parse().ok(),
            Some(_) => {
                return text_response(StatusCode::BAD_REQUEST, "if-object-version is a number");
            }
        };
        let written = self.write(path, expected, body);
        match written {
            Ok(_) if self.take_lost_answer() => close_connection(),
            Ok(version) => with_header(text_response(StatusCode::OK, ""), VERSION, version),
            Err(Conflict { current }) => {
                with_header(text_response(StatusCode::CONFLICT, ""), VERSION, current)
            }
        }
    }

    fn write(
        &self,
        path: &str,
        expected: Option<u64>,
        body: Option<String>,
    ) -> Result<u64, Conflict> {
        let mut state = self.lock_state();
        state.counts.writes += 1;
        let written = state.store.write(path, expected, body);
        match written {
            Ok(version) => {
                self.revision.send_replace(version);
            }
            Err(_) => state.counts.conflicts += 1,
        }
        written
    }

    /// Returns whether the answer to this update is to be lost, and counts down `lose_answers`.
    fn take_lost_answer(&self) -> bool {
        self.faults.send_if_modified(|it| {
            let lost = it.lose_answers > 0;
            it.lose_answers = it.lose_answers.saturating_sub(1);
            lost
        })
    }

    fn list(&self, prefix: &str) -> Response {
        let mut state = self.lock_state();
        state.counts.lists += 1;
        entries_response(&state.store.list(prefix), state.store.revision())
    }

    async fn watch(&self, prefix: &str, query: &str) -> Response {
        let Some(query) = parse_watch_query(query) else {
            return text_response(StatusCode::BAD_REQUEST, "a watch needs after and wait_ms");
        };
        self.lock_state().counts.watches += 1;
        let _waiting = WaitingWatchGuard::new(self);
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms).min(WATCH_MAX);
        let mut revision = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        let era = self.lock_state().store.era();
        loop {
            revision.mark_unchanged();
            if !self.has_history(era, query.after) {
                return text_response(StatusCode::GONE, "the history has been lost");
            }
            if let Some(response) = self.changes_after(prefix, query.after) {
                return response;
            }
            let event = timeout_at(deadline, async {
                tokio::select! {
                    _ = revision.changed() => {}
                    _ = faults.wait_for(|it| it.down) => close_connection(),
                }
            });
            if event.await.is_err() {
                return text_response(StatusCode::NO_CONTENT, "");
            }
        }
    }

    /// Returns whether the store still has the changes after a revision of the given era. A rollback loses them.
    fn has_history(&self, era: u64, after: u64) -> bool {
        let state = self.lock_state();
        state.store.era() == era && after <= state.store.revision()
    }

    fn changes_after(&self, prefix: &str, after: u64) -> Option<Response> {
        let state = self.lock_state();
        let changed = state.store.changes_after(prefix, after);
        (!changed.is_empty()).then(|| entries_response(&changed, state.store.revision()))
    }
}

fn entries_response(entries: &[ObjectEntry], revision: u64) -> Response {
    let response = with_header(json_response(&entries), REVISION, revision);
    with_header(response, CONTENT_TYPE, "application/json")
}

fn merge_faults(current: Faults, body: &[u8]) -> serde_json::Result<Faults> {
    let mut merged = serde_json::to_value(current)?;
    let named: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    if let Some(fields) = merged.as_object_mut() {
        fields.extend(named);
    }
    serde_json::from_value(merged)
}

fn parse_watch_query(query: &str) -> Option<WatchQuery> {
    let value = |name: &str| {
        query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .find_map(|(key, value)| (key == name).then(|| value.parse().ok())?)
    };
    Some(WatchQuery { after: value("after")?, wait_ms: value("wait_ms")? })
}
