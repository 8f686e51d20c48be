//! Suspension of the whole instance.

use std::time::Duration;

use crate::control::suspension::SuspensionDetector;

const MS: Duration = Duration::from_millis(1);

#[test]
fn only_time_that_one_clock_has_not_counted_is_suspension() {
    let mut suspension = SuspensionDetector::default();
    // The instance had been suspended before the process started.
    assert_eq!(suspension.update(90_000 * MS, 50_000 * MS), None);
    assert_eq!(suspension.update(95_000 * MS, 55_000 * MS), None);
    assert_eq!(suspension.update(95_060 * MS, 55_030 * MS), None, "read a little apart");
    assert_eq!(suspension.update(99_060 * MS, 55_060 * MS), Some(3_970 * MS));
    assert_eq!(suspension.update(99_100 * MS, 55_100 * MS), None);
}
