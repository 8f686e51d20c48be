//! Watches of the object store that one agent holds for others.

use bytes::Bytes;
use model::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Largest number of prefixes in a message.
const PREFIXES_MAX: usize = 16;
/// Longest prefix.
const PREFIX_BYTES_MAX: usize = 256;
/// Largest number of changes under a prefix in a message.
const CHANGES_MAX: usize = 256;

/// Position from which the sender waits for changes under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreWatch {
    pub prefix: String,
    pub after: ObjectVersion,
}

/// Answer to a [`StoreWatch`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreNews {
    pub prefix: String,
    /// Revision from which the next watch continues.
    pub revision: ObjectVersion,
    /// The changes since the watched revision; `None` if they are no longer known.
    pub changes: Option<Vec<StoreChange>>,
}

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreChange {
    pub path: String,
    pub version: ObjectVersion,
    /// `None` if the object has been deleted.
    pub body: Option<Bytes>,
}

/// Checks the bounds of the watches in a message. The error is the reason for refusing it.
pub(super) fn check_watches(watches: &[StoreWatch]) -> Result<(), String> {
    match watches {
        it if it.len() > PREFIXES_MAX => Err(format!("{} prefixes are too many", it.len())),
        it if it.iter().any(|it| it.prefix.len() > PREFIX_BYTES_MAX) => {
            Err("a prefix is too long".to_owned())
        }
        _ => Ok(()),
    }
}

/// Checks the bounds of the news in a message. The error is the reason for refusing it.
pub(super) fn check_news(news: &[StoreNews]) -> Result<(), String> {
    match news {
        it if it.len() > PREFIXES_MAX => Err(format!("{} prefixes are too many", it.len())),
        it if it.iter().flat_map(|it| &it.changes).any(|it| it.len() > CHANGES_MAX) => {
            Err("too many changes under one prefix".to_owned())
        }
        _ => Ok(()),
    }
}
