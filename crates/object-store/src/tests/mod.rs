//! Tests of the HTTP client, the era tracker and the follower.

mod checked_watch;
mod eras;
mod follower;
mod http;
mod restored;
