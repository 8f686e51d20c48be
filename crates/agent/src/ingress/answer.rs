//! Adapts responses before they are passed to the caller's connection.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, header::CONNECTION};
use volo_http::{body::Body, response::Response};

use crate::ingress::InFlightGuard;

/// Adds the header that asks the caller to close its connection.
pub(super) fn with_connection_close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Keeps the request counted as in flight until the connection has consumed the whole body.
pub(super) fn guard_until_sent(response: Response, guard: InFlightGuard) -> Response {
    response.map(|body| Body::from_body(GuardedBody { body, _guard: guard }))
}

struct GuardedBody {
    body: Body,
    _guard: InFlightGuard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
