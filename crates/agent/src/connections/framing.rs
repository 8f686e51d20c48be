//! Finds where requests begin and end in the bytes that a client sends.
//!
//! The server gets a head only when it is complete, so that incomplete ones take no memory but that of the connection's
//! buffer, and are parsed once instead of with each read.

use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
    header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE},
    request::Parts,
};

/// Most bytes of empty lines before a request. RFC 9112 (2.2) asks servers to skip at least one such line.
const EMPTY_LINES_BYTES_MAX: usize = 16;
/// Largest number of headers, equal to that of the server.
const HEADERS_MAX: usize = 100;
/// Largest line with the size of a chunk, and largest trailer section, after which requests are still found.
const CHUNK_LINE_BYTES_MAX: usize = 1 << 10;
const TRAILERS_BYTES_MAX: usize = 4 << 10;

/// The next bytes of a connection.
#[derive(Debug)]
pub(crate) enum Frame {
    /// Empty lines before a request, of this length.
    EmptyLines(usize),
    /// A complete head.
    Head(CompleteHead),
    /// A part of a body, of this length.
    Body(usize),
    /// The next frame is not complete.
    Incomplete,
    /// The rest of the connection, since the end of the current request cannot be determined.
    Unframed,
    Rejected(FramingError),
}

/// A complete head.
#[derive(Debug)]
pub(crate) struct CompleteHead {
    /// Length in bytes.
    pub(crate) len: usize,
    /// The head, if the request ends with it.
    pub(crate) bodiless: Option<Box<Parts>>,
}

/// A violation of the limits on what precedes a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum FramingError {
    #[error("the head has more than {bytes_max} bytes")]
    HeadTooLarge { bytes_max: usize },
    #[error("more than {EMPTY_LINES_BYTES_MAX} bytes of empty lines precede the request")]
    TooManyEmptyLines,
}

/// Splits the bytes of a connection into requests.
#[derive(Debug)]
pub(crate) struct RequestFramer {
    state: State,
}

#[derive(Debug)]
enum State {
    Head(HeadProgress),
    /// Inside a body of known length, with the number of bytes left.
    Body(u64),
    /// Before the size of a chunk.
    ChunkSize,
    /// Inside a chunk, with the number of bytes left, including the line end after it.
    Chunk(u64),
    Trailers,
    Unframed,
}

#[derive(Debug, Default)]
struct HeadProgress {
    /// Bytes of empty lines skipped before the head.
    empty_lines_bytes: usize,
    /// Number of bytes in which the end of the head was not found.
    searched_bytes: usize,
    /// Number of bytes from which an incomplete head is checked for errors again.
    next_check_bytes: usize,
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyLength {
    Known(u64),
    Chunked,
    Unclear,
}

enum Parsed {
    Partial,
    /// The server decides whether it is an error.
    Invalid,
    Head(Box<Parts>),
}

impl Default for RequestFramer {
    fn default() -> RequestFramer {
        RequestFramer { state: State::Head(HeadProgress::default()) }
    }
}

impl RequestFramer {
    /// Returns whether the next byte belongs to a head, or to empty lines before one.
    pub(crate) fn is_at_head(&self) -> bool {
        matches!(self.state, State::Head(_))
    }

    /// Returns whether a part of the current request's body has not been received yet.
    pub(crate) fn is_inside_body(&self) -> bool {
        match self.state {
            State::Body(_) | State::ChunkSize | State::Chunk(_) | State::Trailers => true,
            State::Head(_) | State::Unframed => false,
        }
    }

    /// Returns whether the end of the current request cannot be determined.
    pub(crate) fn is_unframed(&self) -> bool {
        matches!(self.state, State::Unframed)
    }

    /// Returns the frame that `bytes` begin with. After [`Frame::Incomplete`], they are passed again with further ones;
    /// otherwise those behind the frame are passed next.
    pub(crate) fn next_frame(&mut self, bytes: &[u8], head_bytes_max: usize) -> Frame {
        match &mut self.state {
            State::Unframed => Frame::Unframed,
            _ if bytes.is_empty() => Frame::Incomplete,
            State::Head(progress) => match progress.next(bytes, head_bytes_max) {
                Ok(None) => Frame::Incomplete,
                Ok(Some(HeadStep::EmptyLines(len))) => Frame::EmptyLines(len),
                Ok(Some(HeadStep::Invalid)) => self.give_up(),
                Ok(Some(HeadStep::Head(len, head))) => self.begin_body(len, head),
                Err(error) => Frame::Rejected(error),
            },
            State::Body(left) => {
                let len = len_within(*left, bytes);
                *left -= len as u64;
                if *left == 0 {
                    self.state = State::Head(HeadProgress::default());
                }
                Frame::Body(len)
            }
            State::Chunk(left) => {
                let len = len_within(*left, bytes);
                *left -= len as u64;
                if *left == 0 {
                    self.state = State::ChunkSize;
                }
                Frame::Body(len)
            }
            State::ChunkSize => match httparse::parse_chunk_size(bytes) {
                Ok(httparse::Status::Complete((len, 0))) => {
                    self.state = State::Trailers;
                    Frame::Body(len)
                }
                Ok(httparse::Status::Complete((len, size))) => {
                    self.state = State::Chunk(size.saturating_add(2));
                    Frame::Body(len)
                }
                Ok(httparse::Status::Partial) if bytes.len() <= CHUNK_LINE_BYTES_MAX => {
                    Frame::Incomplete
                }
                Ok(httparse::Status::Partial) | Err(_) => self.give_up(),
            },
            State::Trailers => {
                let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
                match httparse::parse_headers(bytes, &mut headers) {
                    Ok(httparse::Status::Complete((len, _))) => {
                        self.state = State::Head(HeadProgress::default());
                        Frame::Body(len)
                    }
                    Ok(httparse::Status::Partial) if bytes.len() <= TRAILERS_BYTES_MAX => {
                        Frame::Incomplete
                    }
                    Ok(httparse::Status::Partial) | Err(_) => self.give_up(),
                }
            }
        }
    }

    fn give_up(&mut self) -> Frame {
        self.state = State::Unframed;
        Frame::Unframed
    }

    fn begin_body(&mut self, len: usize, head: Box<Parts>) -> Frame {
        let length = body_length(&head);
        self.state = match length {
            BodyLength::Known(0) => State::Head(HeadProgress::default()),
            BodyLength::Known(left) => State::Body(left),
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::Unclear => State::Unframed,
        };
        let is_bodiless = length == BodyLength::Known(0) && !head.headers.contains_key(EXPECT);
        let bodiless = is_bodiless.then_some(head);
        Frame::Head(CompleteHead { len, bodiless })
    }
}

enum HeadStep {
    EmptyLines(usize),
    Invalid,
    Head(usize, Box<Parts>),
}

impl HeadProgress {
    /// Returns the next step, or `None` if more bytes are needed.
    fn next(&mut self, bytes: &[u8], bytes_max: usize) -> Result<Option<HeadStep>, FramingError> {
        let empty_lines = empty_lines_len(bytes);
        if empty_lines > 0 {
            self.empty_lines_bytes += empty_lines;
            return match self.empty_lines_bytes <= EMPTY_LINES_BYTES_MAX {
                true => Ok(Some(HeadStep::EmptyLines(empty_lines))),
                false => Err(FramingError::TooManyEmptyLines),
            };
        }
        let end = head_end(bytes, self.searched_bytes);
        if end.unwrap_or(bytes.len()) > bytes_max {
            return Err(FramingError::HeadTooLarge { bytes_max });
        }
        if let Some(end) = end {
            return Ok(Some(match parse(&bytes[..end]) {
                Parsed::Head(head) => HeadStep::Head(end, head),
                Parsed::Partial | Parsed::Invalid => HeadStep::Invalid,
            }));
        }
        // The end may begin with the last two bytes.
        self.searched_bytes = bytes.len().saturating_sub(2);
        if bytes.len() < self.next_check_bytes {
            return Ok(None);
        }
        // Doubled, so that the checks of a head that arrives in small parts take time in proportion to its length.
        self.next_check_bytes = bytes.len() * 2;
        match parse(bytes) {
            Parsed::Invalid => Ok(Some(HeadStep::Invalid)),
            Parsed::Partial | Parsed::Head(_) => Ok(None),
        }
    }
}

/// Returns how many of `bytes` belong to the `left` ones of a body.
fn len_within(left: u64, bytes: &[u8]) -> usize {
    usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len())
}

/// Returns the length of the complete empty lines that `bytes` begin with.
fn empty_lines_len(bytes: &[u8]) -> usize {
    let mut rest = bytes;
    while let [b'\r', b'\n', after @ ..] | [b'\n', after @ ..] = rest {
        rest = after;
    }
    bytes.len() - rest.len()
}

/// Returns the end of the first empty line that ends a head, searching from `from` on.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(offset) = bytes[at..].iter().position(|it| *it == b'\n') {
        at += offset + 1;
        match bytes[at..] {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
    None
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => match request_head(&request) {
            Some(head) => Parsed::Head(Box::new(head)),
            None => Parsed::Invalid,
        },
        Ok(httparse::Status::Partial) => Parsed::Partial,
        Err(_) => Parsed::Invalid,
    }
}

fn request_head(request: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for it in request.headers.iter() {
        let name = HeaderName::from_bytes(it.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(it.value).ok()?);
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    head.uri = request.path?.parse::<Uri>().ok()?;
    head.headers = headers;
    // Whether a connection of HTTP/1.0 stays open is left to the server.
    (request.version == Some(1)).then_some(head)
}

fn body_length(head: &Parts) -> BodyLength {
    let headers = &head.headers;
    if head.method == Method::CONNECT || headers.contains_key(UPGRADE) {
        return BodyLength::Unclear;
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
        (None, _, None, _) => BodyLength::Known(0),
        (None, _, Some(length), None) => {
            let length = length.to_str().ok().and_then(|it| it.parse().ok());
            length.map_or(BodyLength::Unclear, BodyLength::Known)
        }
        (Some(coding), None, None, _) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            BodyLength::Chunked
        }
        _ => BodyLength::Unclear,
    }
}
