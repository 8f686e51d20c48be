//! A client of one machine, as PROTOCOL.md describes it: it keeps its connection, and each attempt has its own id.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    http::{Connection, Message},
    record::{Record, now_ms},
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub struct Client {
    name: String,
    egress: SocketAddr,
    record: Record,
    connection: Option<Connection>,
}

/// An attempt that has been sent.
pub struct Attempt {
    pub id: String,
}

impl Client {
    pub fn new(name: &str, egress: SocketAddr, record: &Record) -> Client {
        Client { name: name.to_owned(), egress, record: record.clone(), connection: None }
    }

    /// Sends an attempt on the kept connection, or on a new one.
    pub fn send(&mut self, first: &str, body: &[u8], deadline_ms: u64) -> Option<Attempt> {
        let id = format!("{:016x}", now_ms() << 20 | NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let attempt = Attempt { id: id.clone() };
        self.record.line(&format!("client {} sends {id} {first} {}", self.name, body.len()));
        if self.connection.is_none() {
            self.connection = Connection::open(self.egress).ok();
        }
        let Some(connection) = &mut self.connection else {
            self.end(&attempt, None);
            return None;
        };
        // A client waits a little longer than it says.
        let limit = Duration::from_millis(deadline_ms + 500);
        let _ = connection.stream.set_read_timeout(Some(limit));
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", "meet.example"),
            ("pomelohill-request-id", id.as_str()),
            ("pomelohill-deadline-ms", deadline.as_str()),
        ];
        match connection.write(&format!("{first} HTTP/1.1"), &headers, body) {
            Ok(()) => Some(attempt),
            Err(_) => {
                self.end(&attempt, None);
                None
            }
        }
    }

    /// Waits for the answer. `None` if the connection ended without one.
    pub fn receive(&mut self, attempt: &Attempt) -> Option<Message> {
        let answer = self.connection.as_mut().and_then(|it| it.read().ok());
        self.end(attempt, answer.as_ref());
        answer
    }

    fn end(&mut self, attempt: &Attempt, answer: Option<&Message>) {
        let text = match answer {
            Some(it) if it.status() == 200 => "200".to_owned(),
            Some(it) => format!("{} {}", it.status(), it.text().trim()),
            None => "no answer, the connection ended".to_owned(),
        };
        self.record.line(&format!("client {} gets {} {text}", self.name, attempt.id));
        let closes = |it: &Message| it.header("connection").is_some_and(|it| it.contains("close"));
        if answer.is_none_or(closes) {
            self.connection = None;
        }
    }

    /// Sends an attempt and waits for its answer.
    pub fn ask(&mut self, first: &str, body: &[u8], deadline_ms: u64) -> Option<Message> {
        let attempt = self.send(first, body, deadline_ms)?;
        self.receive(&attempt)
    }
}

/// Whether the answer is a target's success.
pub fn is_served(answer: Option<&Message>) -> bool {
    answer
        .is_some_and(|it| it.status() == 200 && it.header("pomelohill-server-signature").is_some())
}
