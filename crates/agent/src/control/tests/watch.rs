//! The rate at which a coordinator starts watches.

use model::{ObjectVersion, Timestamp};

use crate::control::watch::Watch;

/// The platform's response to each watch.
#[derive(Clone, Copy)]
enum Platform {
    /// An answer after this many milliseconds.
    Answers(u64),
    /// An error after this many milliseconds.
    Fails(u64),
    NoAnswer,
}

/// Checks the number of watches started within a minute.
fn check(platform: Platform, expected: usize) {
    let mut watch = Watch::default();
    let mut ends_at = None;
    let mut started = 0;
    for at_ms in (0..60_000).step_by(25) {
        let now = Timestamp::from_ms(at_ms);
        if ends_at.is_some_and(|it| at_ms >= it) {
            ends_at = None;
            match platform {
                Platform::Answers(_) => watch.on_answer(ObjectVersion(1)),
                Platform::Fails(_) => watch.on_failure(now, 1.5),
                Platform::NoAnswer => {}
            }
        }
        if watch.try_start(now) {
            started += 1;
            ends_at = match platform {
                Platform::Answers(after_ms) | Platform::Fails(after_ms) => Some(at_ms + after_ms),
                Platform::NoAnswer => None,
            };
        }
    }
    assert_eq!(started, expected);
}

#[test]
fn the_rate_of_watches_is_bounded() {
    // Each watch is held for 10 s.
    check(Platform::Answers(10_000), 6);
    // Each watch is answered at once: at most ten are started per second.
    check(Platform::Answers(0), 600);
    // Started at 0, 0.75 and 2.25 s, then every 3 s.
    check(Platform::Fails(0), 3 + 19);
    // Each watch is abandoned after 15 s.
    check(Platform::NoAnswer, 4);
}
