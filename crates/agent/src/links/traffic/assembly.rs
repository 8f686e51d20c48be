//! Assembles bodies that arrive in several frames.

use bytes::{Bytes, BytesMut};
use model::{ServiceName, Token};
use wire::traffic::{Answer, Chunk, Frame, Records, Request, TransferUnit};

/// The records that one gate hands over to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Handover {
    pub(crate) service: ServiceName,
    pub(crate) unit: TransferUnit,
    pub(crate) token: Token,
    /// The records, encoded as CBOR.
    pub(crate) records: Bytes,
}

/// The head of a message with a body.
#[derive(Debug)]
pub(super) enum Head {
    Request(Box<Request>),
    Answer(Answer),
    Records(Records),
}

/// A message whose body has not been received in full.
#[derive(Debug)]
pub(super) struct Assembly {
    head: Head,
    body: BytesMut,
}

/// The state of a message after a frame was received.
#[derive(Debug)]
pub(super) enum Progress {
    /// The head contains the whole body.
    Complete(Head),
    Partial(Assembly),
    /// A chunk is missing, repeated, out of order or too long.
    Broken(Head),
}

impl Head {
    fn body_len(&self) -> u64 {
        match self {
            Head::Request(it) => it.body_len,
            Head::Answer(it) => it.body_len,
            Head::Records(it) => it.body_len,
        }
    }

    fn body(&mut self) -> &mut Bytes {
        match self {
            Head::Request(it) => &mut it.body,
            Head::Answer(it) => &mut it.body,
            Head::Records(it) => &mut it.body,
        }
    }

    /// Starts the assembly with the part of the body in the head frame.
    pub(super) fn start(mut self) -> Progress {
        let body_len = self.body_len();
        let body = self.body();
        match body.len() as u64 {
            len if len == body_len => Progress::Complete(self),
            _ => {
                let body = BytesMut::from(std::mem::take(body));
                Progress::Partial(Assembly { head: self, body })
            }
        }
    }
}

impl Assembly {
    /// Returns the number of bytes received.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }

    /// Adds a chunk, which has to continue the body where it ends.
    pub(super) fn add(mut self, chunk: &Chunk) -> Progress {
        let end = self.body.len() as u64 + chunk.data.len() as u64;
        match self.head.body_len() {
            len if chunk.offset != self.body.len() as u64 || end > len => {
                Progress::Broken(self.head)
            }
            len => {
                self.body.extend_from_slice(&chunk.data);
                if end < len {
                    return Progress::Partial(self);
                }
                *self.head.body() = self.body.freeze();
                Progress::Complete(self.head)
            }
        }
    }
}

/// Splits the body after the first part, which the head contains, into chunk frames.
pub(super) fn chunks(
    id: wire::traffic::CorrelationId,
    body: &Bytes,
    first_len: usize,
) -> impl Iterator<Item = Frame> {
    let starts = (first_len..body.len()).step_by(wire::traffic::CHUNK_BYTES_MAX);
    starts.map(move |start| {
        let end = body.len().min(start + wire::traffic::CHUNK_BYTES_MAX);
        Frame::Chunk(Chunk { id, offset: start as u64, data: body.slice(start..end) })
    })
}
