//! Assembles bodies that arrive in several frames.

use body_budget::{BodyBudget, BodyBuffer, BodyKind, BudgetExceeded, Reservation, held};
use bytes::Bytes;
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
    body: BodyBuffer,
}

/// The state of a message after a frame was received.
#[derive(Debug)]
pub(super) enum Progress {
    /// The head contains the whole body.
    Complete(Head),
    Partial(Assembly),
    /// There is no room for the body.
    NoRoom(Head, BudgetExceeded),
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

    fn body_kind(&self) -> BodyKind {
        match self {
            Head::Request(_) => BodyKind::Request,
            Head::Answer(_) | Head::Records(_) => BodyKind::Answer,
        }
    }

    /// Starts the assembly with the part of the body in the head frame.
    pub(super) fn start(mut self, bodies: &BodyBudget) -> Progress {
        let (body_len, kind) = (self.body_len(), self.body_kind());
        let body = self.body();
        if body_len == 0 && body.is_empty() {
            return Progress::Complete(self);
        }
        if body.len() as u64 > body_len {
            return Progress::Broken(self);
        }
        let is_complete = body.len() as u64 == body_len;
        let reservation = match (is_complete, kind) {
            // A whole answer is in memory already and must not be lost.
            (true, BodyKind::Answer) => Ok(bodies.hold(kind, body.len())),
            _ => bodies.reserve(kind, usize::try_from(body_len).unwrap_or(usize::MAX)),
        };
        let body = std::mem::take(body);
        match reservation {
            Ok(reservation) if is_complete => {
                *self.body() = held(body, reservation);
                Progress::Complete(self)
            }
            Ok(reservation) => Progress::Partial(Assembly::new(self, &body, reservation)),
            Err(exceeded) => Progress::NoRoom(self, exceeded),
        }
    }
}

impl Assembly {
    fn new(head: Head, first: &Bytes, reservation: Reservation) -> Assembly {
        let mut body = BodyBuffer::new(reservation);
        body.extend(first);
        Assembly { head, body }
    }

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
                self.body.extend(&chunk.data);
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
