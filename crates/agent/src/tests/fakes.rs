//! An upstream in memory, and agents without control.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, uri::PathAndQuery};
use model::{
    ConfigVersion, Incarnation, Instance, InstanceName, OUTCOME_HEADER, RequestId, ServiceName,
    Slot, Term, Timestamp, Token, Zone, key_hash,
};
use ownership::{GateCommand, UpstreamState};
use settings::{KeyGrants, ServiceDocument};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};
use upstream::{
    Answer, CallError, ControlError, GrantError, GrantedKeys, HandoverToken, Health, HealthState,
    HttpUpstream, KeyLeaseMode, LeaseEnforcingUpstream, Load, Request, Upstream, UpstreamFuture,
};

use crate::{
    clock::Clock,
    control::{DocumentSource, tests::platform::FakeStore},
    gate::GateHandle,
    ingress::{AnnounceProtocol, DefaultAnnounceProtocol, DefaultCallerProtocol},
    links::LinkKey,
    plane::{Plane, PlaneParts},
    report::{self, Announcement, Report},
    snapshot::{
        KeyRoutes, LeaveReason, LocalUpstream, MemberRoute, OwnerRoute, Routes, ServiceRoutes,
        Snapshot, SnapshotCell,
    },
};

/// Far longer than anything here takes; no test asserts a time.
pub(super) const PATIENCE: Duration = Duration::from_secs(20);
pub(super) const SECRET: &[u8] = b"a secret of all agents";

/// An upstream that does what the last segment of the path says.
pub(super) struct FakeUpstream {
    /// Requests that ran, in order.
    pub(super) ran: Mutex<Vec<RequestId>>,
    pub(super) tokens: Mutex<Vec<Option<Token>>>,
    pub(super) cancelled: Mutex<Vec<RequestId>>,
    /// One permit lets one `hold` go on.
    pub(super) release: Semaphore,
    /// One permit for each request that has begun to run.
    pub(super) started: Semaphore,
    pub(super) frozen: std::sync::atomic::AtomicBool,
    /// Its process has ended; all that it ran was lost then.
    ended: watch::Sender<bool>,
    /// Set where it runs requests only for keys that it was granted.
    key_grants: Option<KeyGrants>,
    /// Calls about keys, in order.
    pub(super) key_calls: Mutex<Vec<KeyCall>>,
}

/// A call about keys, as an upstream that enforces leases gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KeyCall {
    Grant { granted: GrantedKeys, handover: Option<HandoverToken> },
    Release(GrantedKeys),
}

impl FakeUpstream {
    fn new(key_grants: Option<KeyGrants>) -> FakeUpstream {
        FakeUpstream {
            ran: Mutex::default(),
            tokens: Mutex::default(),
            cancelled: Mutex::default(),
            release: Semaphore::new(0),
            started: Semaphore::new(0),
            frozen: std::sync::atomic::AtomicBool::new(false),
            ended: watch::Sender::new(false),
            key_grants,
            key_calls: Mutex::default(),
        }
    }

    pub(super) fn ran(&self) -> Vec<RequestId> {
        self.ran.lock().unwrap().clone()
    }

    /// Waits until one more request has begun.
    pub(super) async fn wait_started(&self) {
        timeout(PATIENCE, self.started.acquire()).await.unwrap().unwrap().forget();
    }

    /// Whether its process has ended.
    pub(super) fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Ends its process.
    pub(super) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Starts its process again.
    pub(super) fn restart(&self) {
        self.ended.send_replace(false);
    }

    async fn run(&self, request: Request) -> Result<Answer, CallError> {
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        if self.has_ended() {
            let reason = "nobody listens".to_owned();
            return Err(CallError::NotSent { step: "connect", peer, reason });
        }
        let mut ended = self.ended.subscribe();
        tokio::select! {
            result = self.work(request) => result,
            _ = ended.wait_for(|it| *it) => {
                Err(CallError::Lost { step: "call", peer, reason: "reset".to_owned() })
            }
        }
    }

    async fn work(&self, request: Request) -> Result<Answer, CallError> {
        let peer = SocketAddr::from(([127, 0, 0, 1], 1));
        let op = request.path.path().rsplit('/').next().unwrap_or_default().to_owned();
        if op == "refuse" {
            return Err(CallError::Refused { peer, retry_after: None });
        }
        self.ran.lock().unwrap().push(request.id);
        self.tokens.lock().unwrap().push(request.token);
        self.started.add_permits(1);
        match op.as_str() {
            "hold" => self.release.acquire().await.unwrap().forget(),
            "give-up" => {
                tokio::time::sleep(request.remaining).await;
                let status = StatusCode::GATEWAY_TIMEOUT;
                return Ok(Answer { status, headers: HeaderMap::new(), body: Bytes::new() });
            }
            "work" => tokio::time::sleep(Duration::from_millis(20)).await,
            "end" => {
                tokio::time::sleep(Duration::from_millis(5)).await;
                self.ended.send_replace(true);
                std::future::pending::<()>().await;
            }
            "lost" => {
                return Err(CallError::Lost { step: "call", peer, reason: "cut".to_owned() });
            }
            _ => {}
        }
        let mut headers = HeaderMap::new();
        headers.insert("x-ran", HeaderValue::from_str(&format!("{:x}", request.id.0)).unwrap());
        let body = match op.as_str() {
            "big" => big_body(request.id),
            _ => request.body,
        };
        Ok(Answer { status: StatusCode::OK, headers, body })
    }
}

/// A body of several chunks that no other request has.
pub(super) fn big_body(id: RequestId) -> Bytes {
    let byte = |it: usize| (id.0 as usize).wrapping_mul(31).wrapping_add(it / 7) as u8;
    (0..700_000 + id.0 as usize % 1000).map(byte).collect::<Vec<u8>>().into()
}

impl Upstream for FakeUpstream {
    fn call(&self, request: Request) -> UpstreamFuture<'_, Result<Answer, CallError>> {
        Box::pin(self.run(request))
    }

    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>> {
        Box::pin(async {
            if self.frozen.load(std::sync::atomic::Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            Ok(Health { state: HealthState::Ready, slots: 2 })
        })
    }

    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>> {
        Box::pin(async { Ok(Load { in_flight: 0, queued: 0 }) })
    }

    fn grant(
        &self,
        _: Slot,
        _: Token,
        _: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>> {
        Box::pin(async { Ok(()) })
    }

    fn prepare(&self, _: Slot) -> UpstreamFuture<'_, Result<(), ControlError>> {
        Box::pin(async { Ok(()) })
    }

    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>> {
        self.cancelled.lock().unwrap().push(id);
        Box::pin(async { Ok(()) })
    }

    fn has_exited(&self) -> UpstreamFuture<'_, bool> {
        Box::pin(async { self.has_ended() })
    }

    fn key_lease_mode(&self) -> KeyLeaseMode<'_> {
        match self.key_grants {
            None => KeyLeaseMode::NotEnforced,
            Some(KeyGrants::Calls) => KeyLeaseMode::ByCall(self),
            Some(KeyGrants::Announcements) => KeyLeaseMode::ByAnnouncement,
        }
    }
}

impl LeaseEnforcingUpstream for FakeUpstream {
    fn grant_keys(
        &self,
        granted: GrantedKeys,
        _: Duration,
        handover: Option<HandoverToken>,
    ) -> UpstreamFuture<'_, Result<(), GrantError>> {
        self.key_calls.lock().unwrap().push(KeyCall::Grant { granted, handover });
        Box::pin(async { Ok(()) })
    }

    fn release_keys(
        &self,
        granted: GrantedKeys,
    ) -> UpstreamFuture<'_, Result<HandoverToken, ControlError>> {
        self.key_calls.lock().unwrap().push(KeyCall::Release(granted));
        Box::pin(async { Ok("warm".into()) })
    }
}

/// `GET` is idempotent, everything else is not.
pub(super) fn document(keyed: bool) -> Arc<ServiceDocument> {
    parsed(&document_text(keyed))
}

/// The same for upstreams that run requests only for keys that they were granted: 64 keys, 16 a slot.
fn leased_document(key_grants: KeyGrants) -> Arc<ServiceDocument> {
    let text = document_text(true);
    let text = text.replace(
        r#""slot_count": 4,"#,
        r#""slot_count": 4, "ordered_keys": 64, "resends": false,"#,
    );
    let text = text
        .replace(r#""checks_fence": false"#, r#""checks_fence": true, "enforces_leases": true"#);
    parsed(&match key_grants {
        KeyGrants::Calls => text,
        KeyGrants::Announcements => text.replace(
            r#""enforces_leases": true"#,
            r#""enforces_leases": true, "key_grants": "announcements""#,
        ),
    })
}

fn document_text(keyed: bool) -> String {
    let text = r#"{
        "service": "svc", "team": "club", "keyed": KEYED, "slot_count": 4,
        "upstream": { "slots": 2, "connections_max": 10, "checks_fence": false, "warmup_ms": 0 },
        "classes": [{ "name": "lap" }],
        "routes": [
            { "method": "GET", "path": "/{op}", "class": "lap", "idempotent": true, "deadline_ms": 10000 },
            { "path": "/{op}", "class": "lap", "idempotent": false, "deadline_ms": 10000 }
        ],
        "limits": { "queue_ms_max": 5000, "queue_length_max": 64, "body_bytes_max": 4194304 },
        "ownership": { "lease_ms": 60000 },
        "drain": { "zone_no_new_work_ms": 0 }
    }"#;
    text.replace("KEYED", if keyed { "true" } else { "false" })
}

fn parsed(text: &str) -> Arc<ServiceDocument> {
    match ServiceDocument::parse(text) {
        Ok(document) => Arc::new(document),
        Err(problems) => panic!("{problems}"),
    }
}

/// One agent: its traffic plane, and the ends that control would hold.
pub(super) struct TestAgent {
    pub(super) plane: Plane,
    pub(super) own: Instance,
    pub(super) gate: GateHandle,
    pub(super) snapshots: Arc<SnapshotCell>,
    pub(super) reports: mpsc::Receiver<Report>,
    pub(super) upstream: Arc<FakeUpstream>,
    pub(super) caller: HttpUpstream,
    pub(super) caller_address: SocketAddr,
}

impl TestAgent {
    pub(super) async fn start(name: &str) -> TestAgent {
        TestAgent::start_with_key(name, SECRET).await
    }

    /// Agents of one service that is not divided by key, which know each other.
    pub(super) async fn start_fleet(count: usize) -> Vec<TestAgent> {
        let store = Arc::new(FakeStore::new());
        let mut agents = Vec::new();
        for it in 0..count {
            let (upstream, form) = (FakeUpstream::new(None), Arc::new(DefaultAnnounceProtocol));
            let (name, store) = (format!("a{it}"), Arc::clone(&store));
            agents.push(TestAgent::start_at(&name, SECRET, upstream, form, store).await);
        }
        let members: Vec<Instance> = agents.iter().map(|it| it.own.clone()).collect();
        for agent in &agents {
            agent.route_to_members(&members.iter().collect::<Vec<_>>()).await;
        }
        agents
    }

    pub(super) async fn start_with_key(name: &str, key: &[u8]) -> TestAgent {
        TestAgent::start_with(name, key, FakeUpstream::new(None), Arc::new(DefaultAnnounceProtocol))
            .await
    }

    /// Beside an upstream that runs requests only for keys that it was granted.
    pub(super) async fn start_leased(name: &str) -> TestAgent {
        let upstream = FakeUpstream::new(Some(KeyGrants::Calls));
        TestAgent::start_with(name, SECRET, upstream, Arc::new(DefaultAnnounceProtocol)).await
    }

    /// Beside one that is granted keys by the answers to its announcements.
    pub(super) async fn start_announced(name: &str, form: Arc<dyn AnnounceProtocol>) -> TestAgent {
        let upstream = FakeUpstream::new(Some(KeyGrants::Announcements));
        TestAgent::start_with(name, SECRET, upstream, form).await
    }

    async fn start_with(
        name: &str,
        key: &[u8],
        upstream: FakeUpstream,
        announce_protocol: Arc<dyn AnnounceProtocol>,
    ) -> TestAgent {
        let store = Arc::new(FakeStore::new());
        TestAgent::start_at(name, key, upstream, announce_protocol, store).await
    }

    async fn start_at(
        name: &str,
        key: &[u8],
        upstream: FakeUpstream,
        announce_protocol: Arc<dyn AnnounceProtocol>,
        store: Arc<FakeStore>,
    ) -> TestAgent {
        let listen = || TcpListener::bind("127.0.0.1:0");
        let (callers, peers, metrics) =
            (listen().await.unwrap(), listen().await.unwrap(), listen().await.unwrap());
        let caller_address = callers.local_addr().unwrap();
        let own = instance(name, peers.local_addr().unwrap());
        let upstream = Arc::new(upstream);
        let clock = Clock::start();
        let (reporter, reports) = report::channel();
        let (gate, tasks) = GateHandle::new(clock);
        let snapshots: Arc<SnapshotCell> = Arc::default();
        let fake: Arc<dyn Upstream> = Arc::clone(&upstream) as Arc<dyn Upstream>;
        let plane = Plane::start(PlaneParts {
            own: own.clone(),
            clock,
            key: LinkKey::new(key),
            snapshots: Arc::clone(&snapshots),
            reporter,
            handle: gate.clone(),
            tasks,
            connect: Box::new(move |_, _| Ok(Arc::clone(&fake))),
            callers,
            peers,
            metrics,
            platform_calls: Arc::default(),
            caller_protocol: Arc::new(DefaultCallerProtocol),
            announce_protocol,
            announcements: None,
            ready: None,
            documents_from: DocumentSource::ObjectStore,
            store,
        })
        .unwrap();
        let caller = HttpUpstream::new(caller_address, 1000, 64 << 20).unwrap();
        TestAgent { plane, own, gate, snapshots, reports, upstream, caller, caller_address }
    }

    /// Publishes routes in which all slots belong to one instance.
    pub(super) async fn route_to(&self, owner: &Instance, route_version: u64) {
        let document = match self.upstream.key_grants {
            Some(key_grants) => leased_document(key_grants),
            None => document(true),
        };
        let slot_count = document.slot_count;
        let route = OwnerRoute { owner: Some(owner.clone()), successors: Vec::new() };
        let slots = vec![route; usize::from(slot_count.count())];
        let hot_keys = HashMap::new();
        let routes = KeyRoutes { route_version, slot_count, slots, hot_keys };
        self.publish(document, Routes::ByKey(routes)).await;
    }

    pub(super) async fn route_to_members(&self, members: &[&Instance]) {
        let member = |it: &&Instance| MemberRoute {
            instance: Instance::clone(it),
            state: UpstreamState::Ready,
        };
        let routes = Routes::Any(members.iter().map(member).collect());
        self.publish(document(false), routes).await;
    }

    /// The same with the own zone closed, or opened.
    pub(super) async fn close_zone(&self, is_closed: bool) {
        let former = self.snapshots.load();
        let local = former.local.clone().map(|it| LocalUpstream {
            leaving: is_closed.then_some(LeaveReason::ZoneClosed),
            ..it
        });
        let services = former.services.clone();
        self.snapshots.store(Snapshot { services, routing: None, local });
        self.plane.wait_bound().await;
    }

    async fn publish(&self, document: Arc<ServiceDocument>, routes: Routes) {
        let service = ServiceName::new("svc").unwrap();
        let routes =
            ServiceRoutes { service: service.clone(), version: ConfigVersion(1), document, routes };
        let announcement = Announcement {
            service: service.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: UpstreamState::Ready,
            slots: 2,
            checks_fence: false,
            upstream_id: None,
            incarnation_start_ms: None,
            sequence: 0,
            cold_for: Duration::ZERO,
        };
        let local = Some(LocalUpstream { announcement, leaving: None });
        let services = HashMap::from([(service, Arc::new(routes))]);
        self.snapshots.store(Snapshot { services, routing: None, local });
        self.plane.wait_bound().await;
    }

    /// Grants all slots and lets the grant grow older than the margin of records.
    pub(super) async fn settle(&self, sequence: u64) {
        self.grant_all(sequence);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Grants all slots, under a lease that outlasts the test.
    pub(super) fn grant_all(&self, sequence: u64) {
        let until = self.gate.clock.now() + PATIENCE * 10;
        let mut commands = vec![GateCommand::Lease { until }];
        commands
            .extend((0..4).map(|it| GateCommand::Admit { slot: Slot(it), token: token(sequence) }));
        self.gate.apply(&commands);
    }

    pub(super) fn end_lease(&self) {
        self.gate.apply(&[GateCommand::Lease { until: Timestamp::ZERO }]);
    }

    /// Calls like a caller would.
    pub(super) async fn call(&self, call: Call<'_>) -> Answer {
        let mut headers = HeaderMap::new();
        headers.insert("x-key", HeaderValue::from_str(call.key).unwrap());
        if let Some(age) = call.age {
            headers.insert("x-first-sent-ms", HeaderValue::from(age.as_millis() as u64));
        }
        let answer = self.caller.call(Request {
            method: call.method,
            path: PathAndQuery::try_from(format!("/svc/{}", call.op)).unwrap(),
            headers,
            body: call.body,
            id: RequestId(call.id),
            token: None,
            remaining: call.deadline,
            bounds: None,
        });
        timeout(PATIENCE, answer).await.expect("an end in time").expect("an answer")
    }

    /// Waits for a report that `wanted` takes.
    pub(super) async fn report<T>(&mut self, wanted: impl Fn(&Report) -> Option<T>) -> T {
        loop {
            let report = timeout(PATIENCE, self.reports.recv()).await.expect("a report in time");
            if let Some(it) = wanted(&report.expect("traffic goes on")) {
                return it;
            }
        }
    }
}

/// One call.
#[derive(Debug, Clone)]
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) op: &'a str,
    pub(super) key: &'a str,
    pub(super) id: u128,
    pub(super) body: Bytes,
    pub(super) age: Option<Duration>,
    pub(super) deadline: Duration,
}

/// An idempotent call.
pub(super) fn get(op: &str, id: u128) -> Call<'_> {
    let deadline = PATIENCE / 2;
    Call { method: Method::GET, op, key: "car-7", id, body: Bytes::new(), age: None, deadline }
}

/// A call that may run once.
pub(super) fn post(op: &str, id: u128) -> Call<'_> {
    Call { method: Method::POST, ..get(op, id) }
}

pub(crate) fn instance(name: &str, address: SocketAddr) -> Instance {
    Instance {
        name: InstanceName::new(name).unwrap(),
        incarnation: Incarnation(key_hash(name.as_bytes()).0),
        zone: Zone::new("pitlane").unwrap(),
        control: address,
        traffic: address,
    }
}

pub(super) fn token(sequence: u64) -> Token {
    Token { term: Term(1), sequence }
}

#[track_caller]
pub(super) fn check(answer: &Answer, status: u16, outcome: &str) {
    let header = answer.headers.get(OUTCOME_HEADER).map(|it| it.to_str().unwrap());
    assert_eq!((answer.status.as_u16(), header), (status, Some(outcome)), "{answer:?}");
}
