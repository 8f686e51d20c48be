//! The HTTP client of an upstream, over `volo-http`.

use std::{error::Error, io, net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode,
    header::{HOST, RETRY_AFTER},
    uri::PathAndQuery,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use model::{REQUEST_ID_HEADER, RequestId, Slot, TOKEN_HEADER, Token};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use volo::{layer::Identity, loadbalance::MkLbLayer, net::Address};
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::{ClientError, client::ErrorKind},
};

use crate::{
    Answer, CallError, ControlError, Health, Load, NOT_RUN_HEADER, Request, Upstream,
    UpstreamFuture,
    control::{Cancel, Grant, Prepare},
};

/// The header that carries the time left to an upstream, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The headers that carry bounds as points on the upstream's clock, in milliseconds.
const START_BEFORE_HEADER: HeaderName = HeaderName::from_static("x-start-before-ms");
const END_BEFORE_HEADER: HeaderName = HeaderName::from_static("x-end-before-ms");
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Below the keep-alive of common servers, so that a reused connection is rarely closed already.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The largest answer to a control call.
const CONTROL_BYTES_MAX: usize = 64 << 10;

/// An upstream over HTTP. Connections are kept and reused.
#[derive(Clone)]
pub struct HttpUpstream {
    client: Client,
    address: SocketAddr,
    host: HeaderValue,
    answer_bytes_max: usize,
}

/// No resolver and no balancing: the address is given.
struct Direct;

impl MkLbLayer for Direct {
    type Layer = Identity;

    fn make(self) -> Identity {
        Identity::new()
    }
}

impl HttpUpstream {
    /// A client that keeps at most `connections_max` unused connections.
    pub fn new(
        address: SocketAddr,
        connections_max: usize,
        answer_bytes_max: usize,
    ) -> anyhow::Result<HttpUpstream> {
        let mut builder = ClientBuilder::new().mk_load_balance(Direct);
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_pool_idle_timeout(IDLE_TIMEOUT);
        builder.set_max_idle_per_host(connections_max);
        builder.stat_enable(false);
        let client = builder
            .build_without_extra_layers()
            .with_context(|| format!("client of upstream {address}"))?;
        let host = HeaderValue::from_str(&address.to_string()).context("host header")?;
        Ok(HttpUpstream { client, address, host, answer_bytes_max })
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
        let response = self
            .send(request.method, request.path, headers, request.body)
            .await
            .map_err(|error| self.call_error(&error))?;
        let (parts, body) = response.into_parts();
        if is_refused(parts.status, &parts.headers) {
            let retry_after = retry_after(&parts.headers);
            return Err(CallError::Refused { peer: self.address, retry_after });
        }
        let body = collect(body, self.answer_bytes_max).await.map_err(|reason| {
            CallError::Broken { step: "read answer", peer: self.address, reason }
        })?;
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Tells what provably never left this process from what may have run.
    fn call_error(&self, error: &ClientError) -> CallError {
        let source = error.source();
        let reason = source.map_or_else(|| error.to_string(), ToString::to_string);
        let peer = self.address;
        let sent = match source.and_then(|it| it.downcast_ref::<volo_http::hyper::Error>()) {
            // hyper's word for a request that it never began to write.
            Some(error) => !error.is_canceled(),
            // A bare I/O error is one of connecting, as is every other kind of error.
            None => {
                *error.kind() == ErrorKind::Request
                    && !source.is_some_and(<dyn Error>::is::<io::Error>)
            }
        };
        match sent {
            true => CallError::Lost { step: "call", peer, reason },
            false => CallError::NotSent { step: "connect", peer, reason },
        }
    }

    async fn control(
        &self,
        step: &'static str,
        method: Method,
        body: Bytes,
    ) -> Result<Bytes, ControlError> {
        let failed = |reason| ControlError { step, peer: self.address, reason };
        let response = self
            .send(method, PathAndQuery::from_static(step), HeaderMap::new(), body)
            .await
            .map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(format!("status {}", response.status())));
        }
        collect(response.into_body(), CONTROL_BYTES_MAX).await.map_err(failed)
    }

    async fn ask<T: DeserializeOwned>(&self, step: &'static str) -> Result<T, ControlError> {
        let body = self.control(step, Method::GET, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| ControlError {
            step,
            peer: self.address,
            reason: error.to_string(),
        })
    }

    async fn tell(&self, step: &'static str, body: &impl Serialize) -> Result<(), ControlError> {
        let body = serde_json::to_vec(body).expect("wire types have a JSON form");
        self.control(step, Method::POST, body.into()).await.map(drop)
    }
}

impl Upstream for HttpUpstream {
    fn call(&self, request: Request) -> UpstreamFuture<'_, Result<Answer, CallError>> {
        Box::pin(self.request(request))
    }

    fn health(&self) -> UpstreamFuture<'_, Result<Health, ControlError>> {
        Box::pin(self.ask("/control/health"))
    }

    fn load(&self) -> UpstreamFuture<'_, Result<Load, ControlError>> {
        Box::pin(self.ask("/control/load"))
    }

    fn grant(
        &self,
        slot: Slot,
        token: Token,
        remaining: Duration,
    ) -> UpstreamFuture<'_, Result<(), ControlError>> {
        let grant = Grant::new(slot, token, whole_ms(remaining));
        Box::pin(async move { self.tell("/control/grant", &grant).await })
    }

    fn prepare(&self, slot: Slot) -> UpstreamFuture<'_, Result<(), ControlError>> {
        Box::pin(async move { self.tell("/control/prepare", &Prepare { slot }).await })
    }

    fn has_exited(&self) -> UpstreamFuture<'_, bool> {
        Box::pin(async {
            let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
            TcpStream::connect(self.address).await.is_err_and(refused)
        })
    }

    fn cancel(&self, id: RequestId) -> UpstreamFuture<'_, Result<(), ControlError>> {
        let cancel = Cancel { request_id: format!("{:x}", id.0) };
        Box::pin(async move { self.tell("/control/cancel", &cancel).await })
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
            Err(format!("it has more than {bytes_max} bytes"))
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
