//! Detection of a suspension of the whole machine.

use std::time::Duration;

use crate::control::suspension::SuspensionDetector;

const MS: Duration = Duration::from_millis(1);

#[test]
fn only_growth_of_the_lead_between_the_clocks_is_reported_as_suspension() {
    let mut suspension = SuspensionDetector::default();
    // The machine was suspended before the process started.
    assert_eq!(suspension.update(90_000 * MS, 50_000 * MS), None);
    assert_eq!(suspension.update(95_000 * MS, 55_000 * MS), None);
    assert_eq!(
        suspension.update(95_060 * MS, 55_030 * MS),
        None,
        "a lead of 30 ms comes from the delay between the readings"
    );
    assert_eq!(suspension.update(99_060 * MS, 55_060 * MS), Some(3_970 * MS));
    assert_eq!(suspension.update(99_100 * MS, 55_100 * MS), None);
}
