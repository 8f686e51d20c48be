//! What a caller asks for.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Method, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    uri::PathAndQuery,
};
use model::{REQUEST_ID_HEADER, RequestId, ServiceName, TOKEN_HEADER, key_hash};
use settings::{RouteError, RouteMatch};

use crate::{request::GateRequest, snapshot::ServiceRoutes};

/// The header that names the time left, in milliseconds.
pub(super) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The header that names the time, in milliseconds, since the first sending of the same id whose end
/// the caller does not know. Sendings that ended as not run don't count.
pub(super) const FIRST_SENT_HEADER: HeaderName = HeaderName::from_static("x-first-sent-ms");
/// First segments that mean something else to upstreams or this agent.
const RESERVED: [&str; 3] = ["control", "upstream", "admin"];

/// Why a request goes nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum Refusal {
    #[error("the path's first segment names no service")]
    NoService,
    #[error("the routes of this service are not known here yet")]
    NoRoutesYet,
    #[error("{0}")]
    NoRoute(RouteError),
    #[error("{0}")]
    NoKey(RouteError),
    #[error("{header}: {reason}")]
    Header { header: HeaderName, reason: &'static str },
    #[error("the headers have more than {bytes_max} bytes")]
    HeadersTooLarge { bytes_max: usize },
    #[error("the body has more than {bytes_max} bytes")]
    BodyTooLarge { bytes_max: usize },
    #[error("the body broke off")]
    BodyBroken,
}

/// Where a request is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Address {
    pub(super) service: ServiceName,
    /// As the upstream is given it.
    pub(super) path: PathAndQuery,
}

impl Address {
    pub(super) fn parse(uri: &Uri) -> Result<Address, Refusal> {
        let path = uri.path_and_query().ok_or(Refusal::NoService)?;
        let name = path.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        match ServiceName::new(name) {
            Ok(service) if path.path().starts_with(&format!("/{service}")) => match () {
                _ if RESERVED.contains(&service.as_str()) => Err(Refusal::NoService),
                _ => Ok(Address { service, path: path.clone() }),
            },
            _ => Err(Refusal::NoService),
        }
    }

    /// What follows the service's segment.
    fn rest(&self) -> &str {
        match &self.path.path()[1 + self.service.as_str().len()..] {
            "" => "/",
            rest => rest,
        }
    }
}

pub(super) fn check_size(headers: &HeaderMap, uri: &Uri, bytes_max: usize) -> Result<(), Refusal> {
    let all = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    let uri = uri.path_and_query().map_or(0, |it| it.as_str().len());
    match all.sum::<usize>() + uri {
        sum if sum > bytes_max => Err(Refusal::HeadersTooLarge { bytes_max }),
        _ => Ok(()),
    }
}

/// The request for the gate; its body is still to come.
pub(super) fn request(
    routes: &ServiceRoutes,
    method: &Method,
    address: &Address,
    mut headers: HeaderMap,
) -> Result<GateRequest, Refusal> {
    let document = &routes.document;
    let header = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
    let RouteMatch { route, key, .. } =
        document.route(method.as_str(), address.rest(), header).map_err(|error| match error {
            RouteError::NoRoute { .. } => Refusal::NoRoute(error),
            RouteError::NoHeader(_) | RouteError::EmptySegment(_) => Refusal::NoKey(error),
        })?;
    let given_id = headers.get(REQUEST_ID_HEADER).map(|it| it.to_str().unwrap_or_default());
    let id = match given_id {
        None => RequestId(rand::random()),
        Some(text) => parse_id(text)?,
    };
    let remaining = match deadline(&headers)? {
        Some(named) => named.min(route.deadline),
        None => route.deadline,
    };
    let age = parse_ms(&headers, FIRST_SENT_HEADER)?.unwrap_or_default();
    let request = GateRequest {
        service: address.service.clone(),
        key_hash: key.map(|it| key_hash(&it)),
        id,
        class: route.class.clone(),
        idempotent: route.idempotent,
        remaining,
        age,
        held: Duration::ZERO,
        config: routes.version,
        method: method.clone(),
        path: address.path.clone(),
        headers: Arc::default(),
        body: Bytes::new(),
    };
    strip(&mut headers);
    Ok(GateRequest { headers: Arc::new(headers), ..request })
}

fn parse_id(text: &str) -> Result<RequestId, Refusal> {
    let reason = "1 to 32 hexadecimal digits";
    let wrong = || Refusal::Header { header: HeaderName::from_static(REQUEST_ID_HEADER), reason };
    let digits = !text.is_empty() && text.bytes().all(|it| it.is_ascii_hexdigit());
    match u128::from_str_radix(text, 16) {
        Ok(id) if digits && text.len() <= 32 => Ok(RequestId(id)),
        _ => Err(wrong()),
    }
}

/// The time that the caller leaves, if it says so.
pub(super) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    parse_ms(headers, DEADLINE_HEADER)
}

fn parse_ms(headers: &HeaderMap, header: HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(&header) else { return Ok(None) };
    match value.to_str().ok().and_then(|it| it.trim().parse().ok()) {
        Some(ms) => Ok(Some(Duration::from_millis(ms))),
        None => Err(Refusal::Header { header, reason: "a whole number of milliseconds" }),
    }
}

/// Takes out what belongs to the caller's connection and what the gate sets itself.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| HeaderName::from_bytes(it.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        DEADLINE_HEADER,
        FIRST_SENT_HEADER,
    ] {
        headers.remove(name);
    }
    for name in
        ["keep-alive", "x-start-before-ms", "x-end-before-ms", REQUEST_ID_HEADER, TOKEN_HEADER]
    {
        headers.remove(name);
    }
}
