//! Tests of the HTTP client, and of what goes on top of any platform.

mod eras;
mod follower;
mod http;
mod restored;
