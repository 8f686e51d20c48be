//! Collects bodies in memory within a budget.

use std::{error::Error, pin::pin};

use bytes::{Buf, Bytes};
use http_body::Body;
use http_body_util::BodyExt;

use crate::{
    budget::{BodyBudget, BodyKind, BudgetExceeded, Reservation},
    buffer::BodyBuffer,
};

/// First room that is reserved for a body of unknown length; each further step doubles it.
const STEP_BYTES: usize = 64 << 10;

/// The reason for which a body was not collected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CollectError {
    #[error("the body has more than {bytes_max} bytes")]
    TooLarge { bytes_max: usize },
    #[error(transparent)]
    NoRoom(#[from] BudgetExceeded),
    #[error("the body broke off: {0}")]
    Broken(String),
}

impl BodyBuffer {
    /// Returns by how many bytes the room has to grow for `more` further bytes.
    fn missing(&self, more: usize, bytes_max: usize) -> usize {
        let needed = self.len() + more;
        let reserved = self.reservation.bytes();
        if needed <= reserved {
            return 0;
        }
        needed.max(reserved.saturating_mul(2)).max(STEP_BYTES).min(bytes_max) - reserved
    }
}

/// Collects a body of at most `bytes_max` bytes. If there is no room for it, a request's body is given up at once, and
/// an answer's body is not read on before there is.
pub async fn collect<B>(
    body: B,
    bytes_max: usize,
    budget: &BodyBudget,
    kind: BodyKind,
) -> Result<Bytes, CollectError>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let size = body.size_hint();
    // Refused before it is received.
    if size.lower() > bytes_max as u64 {
        return Err(CollectError::TooLarge { bytes_max });
    }
    let mut reservation = budget.empty(kind);
    let known_len = size.exact().map_or(0, |it| usize::try_from(it).unwrap_or(bytes_max));
    grow(&mut reservation, known_len, kind).await?;
    let mut buffer = BodyBuffer::new(reservation);
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Broken(error.into().to_string()))?;
        let Ok(mut data) = frame.into_data() else { continue };
        if buffer.len() + data.remaining() > bytes_max {
            return Err(CollectError::TooLarge { bytes_max });
        }
        let missing = buffer.missing(data.remaining(), bytes_max);
        grow(&mut buffer.reservation, missing, kind).await?;
        buffer.fit_to_room(bytes_max);
        while data.has_remaining() {
            let part = data.chunk();
            buffer.extend(part);
            let len = part.len();
            data.advance(len);
        }
    }
    Ok(buffer.freeze())
}

async fn grow(
    reservation: &mut Reservation,
    bytes: usize,
    kind: BodyKind,
) -> Result<(), BudgetExceeded> {
    match (bytes, kind) {
        (0, _) => Ok(()),
        (_, BodyKind::Request) => reservation.grow(bytes),
        (_, BodyKind::Answer) => reservation.grow_later(bytes).await,
    }
}
