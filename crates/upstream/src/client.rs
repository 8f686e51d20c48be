//! HTTP client of an upstream: requests on an [`http_pool::Pool`], control calls by `volo-http`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use body_budget::BodyBudget;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
    header::{HOST, RETRY_AFTER},
    response::Parts,
    uri::PathAndQuery,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use http_pool::{ExchangeError, Pool, PoolConfig, Reply};
use model::{REQUEST_ID_HEADER, RequestId, Slot, TOKEN_HEADER, Token};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use volo::{layer::Identity, loadbalance::MkLbLayer, net::Address};
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::ClientError,
};

use crate::{
    Answer, CallError, ControlError, Health, HealthState, LEAVING_HEADER, LIMIT_HEADER, Load,
    NOT_RUN_HEADER, Presence, Request, StatedCondition, Upstream, UpstreamFuture,
    control::{Cancel, Grant, Prepare},
};

/// Header that carries the remaining time of a request, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header that carries the time before which a request must start, in milliseconds on the upstream's clock.
const START_BEFORE_HEADER: HeaderName = HeaderName::from_static("x-start-before-ms");
/// Header that carries the time by which a request must have ended, in milliseconds on the upstream's clock.
const END_BEFORE_HEADER: HeaderName = HeaderName::from_static("x-end-before-ms");
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed. It is below the keep-alive time of common servers, so that the
/// upstream has rarely closed a connection that is reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest accepted answer to a control call.
const CONTROL_BYTES_MAX: usize = 64 << 10;

/// [`Upstream`] over HTTP, with connections that are kept and reused.
#[derive(Clone)]
pub struct HttpUpstream {
    /// Connections for requests.
    requests: Arc<Pool>,
    /// Client for control calls.
    client: Client,
    address: SocketAddr,
    host: HeaderValue,
    health_path: PathAndQuery,
    answer_bytes_max: usize,
}

/// Load-balancing layer that does nothing, since each call is given the address.
struct NoLoadBalance;

impl MkLbLayer for NoLoadBalance {
    type Layer = Identity;

    fn make(self) -> Identity {
        Identity::new()
    }
}

impl HttpUpstream {
    /// Creates a client that keeps at most `connections_max` idle connections.
    pub fn new(
        address: SocketAddr,
        connections_max: usize,
        answer_bytes_max: usize,
    ) -> anyhow::Result<HttpUpstream> {
        let mut builder = ClientBuilder::new().mk_load_balance(NoLoadBalance);
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_pool_idle_timeout(IDLE_TIMEOUT);
        builder.set_max_idle_per_host(connections_max);
        builder.stat_enable(false);
        let client = builder
            .build_without_extra_layers()
            .with_context(|| format!("client of upstream {address}"))?;
        let host = HeaderValue::from_str(&address.to_string()).context("host header")?;
        let config = PoolConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_max: connections_max,
            probe_interval: None,
        };
        let requests = Arc::new(Pool::new(address, config));
        let health_path = PathAndQuery::from_static("/control/health");
        Ok(HttpUpstream { requests, client, address, host, health_path, answer_bytes_max })
    }

    /// Sets the path of the upstream's health check.
    pub fn with_health_path(self, path: &str) -> anyhow::Result<HttpUpstream> {
        let health_path = PathAndQuery::try_from(path).context("path of the health check")?;
        Ok(HttpUpstream { health_path, ..self })
    }

    /// Sets the budget within which answers are read.
    pub fn with_body_budget(self, budget: BodyBudget) -> HttpUpstream {
        let requests = Arc::new(self.requests.separate().with_body_budget(budget));
        HttpUpstream { requests, ..self }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(
        &self,
        method: Method,
        path: PathAndQuery,
        mut headers: HeaderMap,
        body: Bytes,
    ) -> Result<http::Response<Body>, ClientError> {
        headers.insert(HOST, self.host.clone());
        let mut builder = self
            .client
            .request(method, http::Uri::from(path))
            .address(Address::from(self.address))
            .body(Body::from(body));
        *builder.headers_mut() = headers;
        builder.send().await
    }

    async fn request(&self, request: Request) -> Result<Answer, CallError> {
        let mut headers = request.headers;
        headers.insert(REQUEST_ID_HEADER, hex_value(request.id));
        headers.insert(DEADLINE_HEADER, ms_value(request.remaining));
        if let Some(bounds) = request.bounds {
            headers.insert(START_BEFORE_HEADER, HeaderValue::from(bounds.start_before_ms));
            headers.insert(END_BEFORE_HEADER, HeaderValue::from(bounds.end_before_ms));
        }
        if let Some(token) = request.token {
            let value = HeaderValue::from_str(&token.to_string()).expect("digits and a dot");
            headers.insert(TOKEN_HEADER, value);
        }
        headers.insert(HOST, self.host.clone());
        let mut call = http::Request::new(Full::new(request.body));
        *call.method_mut() = request.method;
        *call.uri_mut() = request.path.into();
        *call.headers_mut() = headers;
        // A second copy of a refusal would be taken for the answer to the next request on the connection.
        let is_reusable = |parts: &Parts| !is_refused(parts.status, &parts.headers);
        let reply = self.requests.exchange(call, self.answer_bytes_max, is_reusable).await;
        let Reply { parts, body, .. } = reply.map_err(|error| self.call_error(error))?;
        if is_refused(parts.status, &parts.headers) {
            let retry_after = retry_after(&parts.headers);
            let condition = self.stated_condition(&parts.headers);
            return Err(CallError::Refused { peer: self.address, retry_after, condition });
        }
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Distinguishes requests that provably never left this process from requests that may have run.
    fn call_error(&self, error: ExchangeError) -> CallError {
        let peer = self.address;
        match error {
            ExchangeError::NotSent(reason) | ExchangeError::Closed(reason) => {
                CallError::NotSent { step: "connect", peer, reason }
            }
            ExchangeError::Lost(reason) => CallError::Lost { step: "call", peer, reason },
            ExchangeError::Broken(reason) => {
                CallError::Broken { step: "read answer", peer, reason }
            }
        }
    }

    async fn control(
        &self,
        step: &'static str,
        method: Method,
        path: PathAndQuery,
        body: Bytes,
    ) -> Result<Bytes, ControlError> {
        let failed = |reason| ControlError { step, peer: self.address, reason };
        let response = self
            .send(method, path, HeaderMap::new(), body)
            .await
            .map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(format!("status {}", response.status())));
        }
        collect(response.into_body(), CONTROL_BYTES_MAX).await.map_err(failed)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: PathAndQuery,
    ) -> Result<T, ControlError> {
        let body = self.control(step, Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| ControlError {
            step,
            peer: self.address,
            reason: error.to_string(),
        })
    }

    async fn post(&self, step: &'static str, body: &impl Serialize) -> Result<(), ControlError> {
        let body = serde_json::to_vec(body).expect("wire types serialize to JSON");
        let path = PathAndQuery::from_static(step);
        self.control(step, Method::POST, path, body.into()).await.map(drop)
    }
}

impl Upstream for HttpUpstream {
    fn call(&self, request: Request) -> UpstreamFuture<'_, Result<Answer, CallError>> {
        Box::pin(self.request(request))
    }

    fn stated_condition(&self, headers: &HeaderMap) -> StatedCondition {
        StatedCondition::from_headers(headers, LIMIT_HEADER, LEAVING_HEADER)
    }

    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>> {
        Box::pin(self.get("health", self.health_path.clone()))
    }

    /// Never returns [`Presence::Replaced`], since the health does not identify an incarnation. Draining counts as
    /// unhealthy, since the upstream may become ready again.
    fn probe(&self) -> UpstreamFuture<'_, Result<Presence, ControlError>> {
        Box::pin(async {
            Ok(match self.health().await?.state {
                HealthState::Starting | HealthState::Ready => Presence::Present,
                HealthState::Draining => Presence::Unhealthy,
            })
        })
    }

    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>> {
        let path = "/control/load";
        Box::pin(self.get(path, PathAndQuery::from_static(path)))
    }

    fn grant(
        &self,
        slot: Slot,
        token: Token,
        remaining: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>> {
        let grant = Grant::new(slot, token, whole_ms(remaining));
        Box::pin(async move { self.post("/control/grant", &grant).await })
    }

    fn prepare(&self, slot: Slot) -> UpstreamFuture<'_, Result<(), ControlError>> {
        Box::pin(async move { self.post("/control/prepare", &Prepare { slot }).await })
    }

    fn has_exited(&self) -> UpstreamFuture<'_, bool> {
        Box::pin(async {
            let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
            TcpStream::connect(self.address).await.is_err_and(refused)
        })
    }

    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>> {
        let cancel = Cancel { request_id: format!("{:x}", id.0) };
        Box::pin(async move { self.post("/control/cancel", &cancel).await })
    }
}

fn is_refused(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers.get(NOT_RUN_HEADER).is_some_and(|it| it.as_bytes() == b"1")
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

async fn collect(body: Body, bytes_max: usize) -> Result<Bytes, String> {
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(format!("the body is larger than {bytes_max} bytes"))
        }
        Err(error) => Err(error.to_string()),
    }
}

fn hex_value(id: RequestId) -> HeaderValue {
    HeaderValue::from_str(&format!("{:x}", id.0)).expect("hexadecimal digits")
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn ms_value(duration: Duration) -> HeaderValue {
    HeaderValue::from(whole_ms(duration))
}
