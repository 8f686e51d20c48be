//! How often a coordinator watches.

use model::{ObjectVersion, Timestamp};

use crate::control::watch::Watch;

/// What the platform does with a watch.
#[derive(Clone, Copy)]
enum Platform {
    /// Answers after so many milliseconds.
    Answers(u64),
    /// Fails after so many milliseconds.
    Fails(u64),
    Silent,
}

/// How many watches begin in a minute of ticks.
fn check(platform: Platform, expected: usize) {
    let mut watch = Watch::default();
    let mut ends_at = None;
    let mut begun = 0;
    for at_ms in (0..60_000).step_by(25) {
        let now = Timestamp::from_ms(at_ms);
        if ends_at.is_some_and(|it| at_ms >= it) {
            ends_at = None;
            match platform {
                Platform::Answers(_) => watch.on_answer(ObjectVersion(1)),
                Platform::Fails(_) => watch.on_failure(now, 1.5),
                Platform::Silent => {}
            }
        }
        if watch.try_start(now) {
            begun += 1;
            ends_at = match platform {
                Platform::Answers(after_ms) | Platform::Fails(after_ms) => Some(at_ms + after_ms),
                Platform::Silent => None,
            };
        }
    }
    assert_eq!(begun, expected);
}

#[test]
fn the_cost_of_watches_is_bounded() {
    // One after another.
    check(Platform::Answers(10_000), 6);
    // Ended at once: no more than ten a second.
    check(Platform::Answers(0), 600);
    // At 0, 0.75 and 2.25 s, then each 3 s.
    check(Platform::Fails(0), 3 + 19);
    // Given up after 15 s.
    check(Platform::Silent, 4);
}
