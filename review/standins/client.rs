//! Clients: one request is one attempt with its own id.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use crate::{http, record::Record};

pub const HOST: &str = "ficu95.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn entry_body(number: u32) -> String {
    format!("entry {number}")
}

#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<u32>,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

impl Attempt {
    pub fn new(method: &'static str, path: &str, key: Option<u32>, deadline_ms: u64) -> Attempt {
        let body = if method == "GET" { Vec::new() } else { b"entry".to_vec() };
        Attempt { id: new_id(), method, path: path.to_owned(), key, deadline_ms, body }
    }

    /// The same entry has the same body in each attempt.
    pub fn with_entry(mut self, number: u32) -> Attempt {
        self.body = entry_body(number).into_bytes();
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let deadline = self.deadline_ms.to_string();
        let key = self.key.map(|it| it.to_string());
        let mut headers = vec![
            ("Host", HOST),
            ("Pomelohill-Request-Id", self.id.as_str()),
            ("Pomelohill-Deadline-Ms", deadline.as_str()),
        ];
        if let Some(key) = &key {
            headers.push(("Pomelohill-Shard-Key", key));
        }
        http::request_bytes(self.method, &self.path, &headers, &self.body)
    }

    /// Sends the request and waits for its answer. Returns the status, or 0 if there was none.
    pub fn send(&self, record: &Record, to: SocketAddr, is_recorded: bool) -> u16 {
        self.send_for_answer(record, to, is_recorded).map_or(0, |it| it.status())
    }

    pub fn send_for_answer(
        &self,
        record: &Record,
        to: SocketAddr,
        is_recorded: bool,
    ) -> Option<http::Message> {
        if is_recorded {
            record.line(&format!("client sends {} {} {} to {to}", self.id, self.method, self.path));
        }
        let timeout = Duration::from_millis(self.deadline_ms);
        let answer = http::call(to, &self.bytes(), timeout);
        if is_recorded {
            let text = match &answer {
                Ok(it) => format!(
                    "client gets {} for {}, Retry-After {:?}: {:?}",
                    it.status(),
                    self.id,
                    it.header("retry-after"),
                    String::from_utf8_lossy(&it.body[..it.body.len().min(80)])
                ),
                Err(reason) => format!("client gets nothing for {}: {reason}", self.id),
            };
            record.line(&text);
        }
        answer.ok()
    }

    /// Sends the request and closes the connection after a while, whether or not it is answered.
    pub fn send_and_leave(&self, to: SocketAddr, after: Duration) {
        let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        _ = stream.set_nodelay(true);
        if (&stream).write_all(&self.bytes()).is_err() {
            return;
        }
        thread::sleep(after);
        drop(BufReader::new(stream));
    }
}
