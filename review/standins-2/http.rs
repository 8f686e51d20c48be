//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response. The first line has been split at its spaces.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        &self.first[0]
    }

    pub fn path(&self) -> &str {
        &self.first[1]
    }

    /// The status, if this is a response.
    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.unread.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a message with a length or in chunks. One with neither has no body.
    pub fn read(&mut self) -> Result<Message> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.unread.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
        let mut word = || words.next().unwrap_or_default();
        let first = [word(), word(), word()];
        let header = |it: &str| {
            let (name, value) = it.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        };
        let mut message =
            Message { first, headers: lines.filter_map(header).collect(), body: Vec::new() };
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
        if is_chunked {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let chunk = self.read_bytes(size)?;
                message.body.extend_from_slice(&chunk);
                self.read_line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = self.read_bytes(length)?;
        Ok(message)
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn read_bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.unread.len() < count {
            self.fill()?;
        }
        let rest = self.unread.split_off(count);
        Ok(std::mem::replace(&mut self.unread, rest))
    }

    pub fn write(&mut self, first: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
        let mut head = format!("{first}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn exchange(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Message> {
        self.write(first, headers, body)?;
        self.read()
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message> {
    let mut connection = Connection::open(address)?;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.exchange(first, headers, body)
}

/// Serves each connection on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F) -> !
where
    F: Fn(&mut Connection) -> Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let handle = Arc::clone(&handle);
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while handle(&mut connection).is_ok() {}
        });
    }
}
