//! Bodies of answers. Callers detect from them whether an answer belongs to their request and is complete.

use bytes::Bytes;
use http::header::HeaderName;
use model::{RequestId, key_hash};
use serde::{Deserialize, Serialize};

/// Request header: number of filler bytes in the answer.
pub(crate) const ANSWER_BYTES: HeaderName = HeaderName::from_static("x-answer-bytes");
/// Header with the shard key.
pub(crate) const KEY: HeaderName = HeaderName::from_static("x-key");

/// The first line of an answer's body, as JSON. The filler follows.
#[derive(Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct AnswerHead {
    id: String,
    key: String,
    filler_bytes: usize,
    /// Hash of the filler, hexadecimal.
    checksum: String,
}

/// The reason why an answer is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum AnswerError {
    #[error("the answer belongs to another request")]
    OtherRequest,
    #[error("the answer is truncated or corrupt")]
    Corrupt,
}

/// Returns the body of the answer to a request.
pub(crate) fn encode_answer(id: RequestId, key: &str, filler_bytes: usize) -> Bytes {
    let filler: Vec<u8> = id.0.to_be_bytes().into_iter().cycle().take(filler_bytes).collect();
    let head = AnswerHead {
        id: format!("{:x}", id.0),
        key: key.to_owned(),
        filler_bytes,
        checksum: checksum(&filler),
    };
    let mut body = serde_json::to_vec(&head).unwrap_or_default();
    body.push(b'\n');
    body.extend_from_slice(&filler);
    Bytes::from(body)
}

/// Checks that a body answers this request and is complete.
pub(crate) fn check_answer(
    body: &[u8],
    id: RequestId,
    key: &str,
    filler_bytes: usize,
) -> Result<(), AnswerError> {
    let head_end = body.iter().position(|it| *it == b'\n').ok_or(AnswerError::Corrupt)?;
    let (head, filler) = (&body[..head_end], &body[head_end + 1..]);
    let head: AnswerHead = serde_json::from_slice(head).map_err(|_| AnswerError::Corrupt)?;
    if head.id != format!("{:x}", id.0) || head.key != key {
        return Err(AnswerError::OtherRequest);
    }
    let is_intact = head.filler_bytes == filler_bytes
        && filler.len() == filler_bytes
        && head.checksum == checksum(filler);
    if is_intact { Ok(()) } else { Err(AnswerError::Corrupt) }
}

fn checksum(filler: &[u8]) -> String {
    format!("{:x}", key_hash(filler).0)
}
