//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub type Headers = Vec<(String, String)>;

pub struct Message {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

/// Reads a request or a response; `None` if the connection ends before it is complete.
pub fn read(stream: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if !line.trim_end().is_empty() {
            break;
        }
    }
    let mut parts = line.trim_end().splitn(3, ' ').map(str::to_owned);
    let first = [parts.next()?, parts.next()?, parts.next().unwrap_or_default()];
    let mut headers = Headers::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            stream.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            line.clear();
            stream.read_line(&mut line).ok()?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        stream.read_to_end(&mut message.body).ok()?;
    }
    Some(message)
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

pub fn response_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends one request on a new connection; the error says how it ended without a whole answer.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> Result<Message, &'static str> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|_| "not connected")?;
    _ = stream.set_nodelay(true);
    _ = stream.set_read_timeout(Some(timeout));
    (&stream).write_all(request).map_err(|_| "connection lost")?;
    read(&mut BufReader::new(stream), true).ok_or("no answer")
}
