//! Tests of the era tracker: detection of rollbacks and use of revisions of earlier eras.

use std::net::SocketAddr;

use model::ObjectVersion;

use crate::{EraTracker, StoreError};

#[test]
fn a_rollback_is_detected_but_not_at_the_first_answer() {
    for first in [0, 3] {
        let eras = EraTracker::default();
        assert!(!eras.observe(first), "the first answer is no rollback, era {first}");
        assert!(!eras.observe(first));
        assert!(eras.observe(first + 1), "a later era is a rollback, era {first}");
        assert!(!eras.observe(first), "a delayed answer of an earlier era is no rollback");
        assert_eq!(eras.latest(), first + 1);
    }
}

#[test]
fn a_revision_of_an_earlier_era_is_refused() {
    let eras = EraTracker::default();
    let before = ObjectVersion::of(0, 7);
    eras.observe(0);
    assert_eq!(eras.revision_for_update("a", before), Ok(7));
    assert_eq!(eras.revision_for_watch("a", before), Ok(7));
    eras.observe(1);
    assert!(matches!(eras.revision_for_update("a", before), Err(StoreError::Conflict { .. })));
    assert!(matches!(eras.revision_for_watch("a", before), Err(StoreError::HistoryGone { .. })));
    assert_eq!(
        eras.revision_for_update("a", ObjectVersion(0)),
        Ok(0),
        "the condition that an object is absent holds in any era"
    );
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let after = ObjectVersion::of(1, 8);
    let confirm = |expected| eras.confirm_update("a".to_owned(), peer, expected, after);
    assert!(matches!(confirm(before), Err(StoreError::Unavailable { .. })));
    assert_eq!(confirm(ObjectVersion::of(1, 7)), Ok(after));
}
