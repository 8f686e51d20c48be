//! The platform's object API: versions, conditional updates and watches.
//!
//! HTTP form of the API:
//! - `GET /objects/PATH`: 200 with the body and `x-object-version`, or 404.
//! - `PUT /objects/PATH` with `if-object-version: V` (0: must not exist; absent: any): 200 with
//!   `x-object-version`, or 409 with the current version in the same header.
//! - `DELETE /objects/PATH` with `if-object-version`.
//! - `GET /list/PREFIX`: a JSON array of `{path, version, body}`, with `x-revision`.
//! - `GET /watch/PREFIX?after=REVISION&wait_ms=N`: waits until something under the prefix has a
//!   revision above `after`, then answers like `list` with the changed objects only; 204 when
//!   `wait_ms` passed without one. A deleted object has `"body": null`.
//!
//! Object versions are revisions of one counter for the whole store. A store that was rolled back to an older snapshot
//! continues from the revision of the snapshot. The header `x-store-era` of all answers carries the number of
//! rollbacks; without the header there were none. A watch from a revision that the store does not have gets status 410.

mod api;
mod checked_watch;
mod counted;
mod eras;
mod follower;
mod http;

#[cfg(test)]
mod tests;

pub use api::{Change, Changes, Object, ObjectStore, StoreError, StoreResult};
pub use checked_watch::{PROBE_PATH, watch_with_check};
pub use counted::{CallCounts, CallKind, CountedStore};
pub use eras::{EraTracker, parse_era};
pub use follower::{Follower, FollowerTimes};
pub use http::{HttpObjectStore, Timeouts};
