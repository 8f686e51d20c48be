//! When work is slow, and for how long.

use std::time::Duration;

use model::{Slowness, Timestamp};

use super::Pace;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(ms)
}

/// Tells a value every 20 ms in `from_ms..to_ms`.
fn tell(pace: &mut Pace, from_ms: u64, to_ms: u64, slowness: u32) {
    for ms in (from_ms..to_ms).step_by(20) {
        pace.told(at(ms), Slowness(slowness));
    }
}

/// Spells of 300 ms and of 700 ms by turns, one every two seconds, until `seconds` have passed.
fn spells(pace: &mut Pace, seconds: u64) {
    for second in (0..seconds).step_by(2) {
        let length_ms = if second % 4 == 0 { 300 } else { 700 };
        let begin = second * 1000;
        tell(pace, begin, begin + 1000, 70);
        tell(pace, begin + 1000, begin + 1000 + length_ms, 210);
        tell(pace, begin + 1000 + length_ms, begin + 2000, 70);
    }
}

#[test]
fn without_a_word_nothing_is_slow() {
    let pace = Pace::default();
    assert_eq!((pace.is_slow(at(5)), pace.slow_for(at(5))), (false, None));
}

#[test]
fn a_slow_machine_is_not_slow_by_its_own_measure() {
    let mut pace = Pace::default();
    tell(&mut pace, 0, 20_000, 480);
    assert!(!pace.is_slow(at(20_000)));
}

#[test]
fn a_first_spell_is_slow_for_nobody_knows_how_long() {
    let mut pace = Pace::default();
    tell(&mut pace, 0, 3_000, 70);
    tell(&mut pace, 3_000, 3_100, 210);
    assert!(pace.is_slow(at(3_100)));
    assert_eq!(pace.slow_for(at(3_100)), None);
}

#[test]
fn how_long_it_goes_on_is_what_earlier_spells_went_on_from_there() {
    let mut pace = Pace::default();
    spells(&mut pace, 40);
    let begin = 40_000;
    tell(&mut pace, begin, begin + 1000, 70);
    tell(&mut pace, begin + 1000, begin + 1100, 210);
    let left = |ms| pace.slow_for(at(begin + 1000 + ms));
    assert_eq!(left(0), Some(Duration::from_millis(500)));
    assert_eq!(left(100), Some(Duration::from_millis(400)));
    // One of 300 ms would have ended.
    assert_eq!(left(400), Some(Duration::from_millis(300)));
    assert_eq!(left(700), None);
}

#[test]
fn a_spell_ends_with_the_word_that_it_has() {
    let mut pace = Pace::default();
    spells(&mut pace, 40);
    pace.told(at(41_000), Slowness(210));
    pace.told(at(41_010), Slowness(70));
    assert_eq!((pace.is_slow(at(41_010)), pace.slow_for(at(41_010))), (false, None));
}

/// An upstream that has no work for seconds tells nothing: what it tells then says nothing of how long.
#[test]
fn a_spell_whose_begin_or_end_was_not_heard_is_no_measure() {
    let mut pace = Pace::default();
    tell(&mut pace, 0, 3_000, 70);
    pace.told(at(3_000), Slowness(210));
    pace.told(at(9_000), Slowness(70));
    tell(&mut pace, 9_020, 12_000, 70);
    pace.told(at(15_000), Slowness(210));
    pace.told(at(15_100), Slowness(70));
    pace.told(at(15_120), Slowness(210));
    assert_eq!(pace.slow_for(at(15_130)), None);
}
