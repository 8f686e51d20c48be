//! HTTP pipelining: starts requests that a caller sends before its earlier ones are answered.
//!
//! Many callers send two or more reads at once. Served one after the other, the second waits for the first: of
//! 4,250 requests under low load, 1,015 had used over half of their objective before an upstream saw them. So
//! idempotent requests are started as soon as their heads are complete, and the server takes their responses when their
//! turn comes.
//!
//! Invariants: the server sends responses in the order of the requests. Only idempotent requests are started
//! early, so that a caller can resend those that follow a response which closes the connection. The number of requests
//! that are started early is bounded.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use http::{Request, request::Parts};
use tokio::{net::TcpStream, task::JoinHandle};
use volo_http::{body::Body, response::Response};

use crate::{
    connections::{ConnectionObserver, Turn},
    ingress::{Ingress, is_readable},
};

/// Largest number of requests of one connection that are started early. Further ones are served in turn.
const EARLY_REQUESTS_MAX: usize = 8;

/// Starts the requests of a connection that may be started before their turn.
pub(super) struct ReadAhead {
    ingress: Arc<Ingress>,
    /// Number of stalls of the process after which the connection was last found empty.
    empty_after_stalls: u64,
    /// Number of stalls before the connection was asked for bytes last. One may begin after it was found empty.
    stalls_before_read: u64,
    /// Longest time for which the bytes read last may have waited unread.
    longest_wait: Duration,
    /// Requests started early, with their numbers on the connection.
    early_requests: VecDeque<(u64, EarlyRequest)>,
    /// Number of the last request that is not idempotent. Later ones start only after it is answered, since
    /// they may depend on its effect.
    barrier: Option<u64>,
}

/// A request that was started before its turn. Dropping it cancels the request.
pub(super) struct EarlyRequest {
    head: Box<Parts>,
    task: JoinHandle<Response>,
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EarlyRequest {
    /// Waits for the response. Returns `None` if the task failed, in which case the request has to be served
    /// again.
    pub(super) async fn answer(mut self) -> Option<Response> {
        match (&mut self.task).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(target: "ingress", "The task of a request that was started early has failed; serving the request again: {error}.");
                None
            }
        }
    }

    /// Returns whether the request was started from the same head.
    fn is_for(&self, head: &Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.headers == head.headers
    }
}

impl ReadAhead {
    /// `empty_after_stalls` is the number of stalls of the process after which the connection had certainly not been
    /// opened yet.
    pub(super) fn new(empty_after_stalls: u64, ingress: Arc<Ingress>) -> ReadAhead {
        ReadAhead {
            ingress,
            empty_after_stalls,
            stalls_before_read: 0,
            longest_wait: Duration::ZERO,
            early_requests: VecDeque::new(),
            barrier: None,
        }
    }

    /// Returns the request with this number if it was started early.
    pub(super) fn take_early(&mut self, number: u64, head: &Parts) -> Option<EarlyRequest> {
        let (_, early) = self.early_requests.pop_front_if(|it| it.0 == number)?;
        let is_same = early.is_for(head);
        if !is_same {
            log::warn!(target: "ingress", "The framing of a connection and the server parsed a request differently; serving the request again.");
        }
        is_same.then_some(early)
    }

    /// Returns the longest time for which the request that the server begins to serve may have waited unread.
    pub(super) fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    /// Returns whether requests have been started early that the server has not begun to serve.
    pub(super) fn has_early_requests(&self) -> bool {
        !self.early_requests.is_empty()
    }
}

impl ConnectionObserver for ReadAhead {
    fn before_read(&mut self) {
        self.stalls_before_read = self.ingress.stalls().count();
    }

    fn found_empty(&mut self, stream: &TcpStream) {
        if self.empty_after_stalls != self.stalls_before_read && !is_readable(stream) {
            self.empty_after_stalls = self.stalls_before_read;
        }
    }

    fn after_read(&mut self) {
        self.longest_wait = self.ingress.stalls().longest_wait(self.empty_after_stalls);
    }

    fn handle_head(&mut self, turn: Turn, head: Option<Box<Parts>>) {
        let Turn { number, answered_count } = turn;
        let Some(head) = head.filter(|it| self.ingress.may_start_early(it)) else {
            self.barrier = Some(number);
            return;
        };
        let is_past_barrier = self.barrier.is_none_or(|it| it < answered_count);
        // The server itself starts a request that has no unanswered one before it.
        let has_earlier = number > answered_count;
        if !has_earlier || !is_past_barrier || self.early_requests.len() >= EARLY_REQUESTS_MAX {
            return;
        }
        let request = Request::from_parts((*head).clone(), Body::empty());
        let ingress = Arc::clone(&self.ingress);
        let task = tokio::spawn(async move { ingress.serve(request).await });
        self.early_requests.push_back((number, EarlyRequest { head, task }));
    }
}
