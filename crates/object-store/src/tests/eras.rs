//! What a client makes of the eras of a store.

use std::net::SocketAddr;

use model::ObjectVersion;

use crate::{EraTracker, StoreError};

#[test]
fn the_first_return_from_a_copy_is_noticed_and_the_first_answer_is_none() {
    for first in [0, 3] {
        let eras = EraTracker::default();
        assert!(!eras.observe(first), "era {first}");
        assert!(!eras.observe(first));
        assert!(eras.observe(first + 1), "era {first}");
        assert!(!eras.observe(first), "an answer that was on its way");
        assert_eq!(eras.latest(), first + 1);
    }
}

#[test]
fn a_revision_is_named_in_its_own_era_only() {
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
        "it must not exist, whatever the era"
    );
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let after = ObjectVersion::of(1, 8);
    let confirm = |expected| eras.confirm_update("a".to_owned(), peer, expected, after);
    assert!(matches!(confirm(before), Err(StoreError::Unavailable { .. })));
    assert_eq!(confirm(ObjectVersion::of(1, 7)), Ok(after));
}
