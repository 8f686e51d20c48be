//! The platform's object API: versions, conditional updates and watches.
//!
//! HTTP of the API, as the stand-in serves it and the client speaks it:
//! - `GET /objects/PATH`: 200 with the body and `x-object-version`, or 404.
//! - `PUT /objects/PATH` with `if-object-version: V` (0: must not exist; absent: any): 200 with
//!   `x-object-version`, or 409 with the current version in the same header.
//! - `DELETE /objects/PATH` with `if-object-version`.
//! - `GET /list/PREFIX`: a JSON array of `{path, version, body}`, with `x-revision`.
//! - `GET /watch/PREFIX?after=REVISION&wait_ms=N`: waits until something under the prefix has a
//!   revision above `after`, then answers like `list` with the changed objects only; 204 when
//!   `wait_ms` passed without one. A deleted object has `"body": null`.
//!
//! Object versions are revisions: one counter for the whole store. A store that comes back from an older copy goes on
//! from the revision of the copy, and names in `x-store-era` of all its answers how often that was; absent: never. A
//! watch from a revision that it does not have is answered 410.

mod api;
mod counted;
mod eras;
mod follower;
mod http;

#[cfg(test)]
mod tests;

pub use api::{Change, Changes, Object, ObjectStore, StoreError, StoreResult};
pub use counted::{CallCounts, CallKind, CountedStore};
pub use eras::EraTracker;
pub use follower::{Follower, FollowerTimes};
pub use http::{HttpObjectStore, Timeouts};
