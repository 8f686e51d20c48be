//! What a client makes of the eras of a store.

use std::net::SocketAddr;

use model::ObjectVersion;

use crate::{Eras, StoreError};

#[test]
fn the_first_return_from_a_copy_is_noticed_and_the_first_answer_is_none() {
    for first in [0, 3] {
        let eras = Eras::default();
        assert!(!eras.hear(first), "era {first}");
        assert!(!eras.hear(first));
        assert!(eras.hear(first + 1), "era {first}");
        assert!(!eras.hear(first), "an answer that was on its way");
        assert_eq!(eras.latest(), first + 1);
    }
}

#[test]
fn a_revision_is_named_in_its_own_era_only() {
    let eras = Eras::default();
    let before = ObjectVersion::of(0, 7);
    eras.hear(0);
    assert_eq!(eras.condition("a", before), Ok(7));
    assert_eq!(eras.watched_from("a", before), Ok(7));
    eras.hear(1);
    assert!(matches!(eras.condition("a", before), Err(StoreError::Conflict { .. })));
    assert!(matches!(eras.watched_from("a", before), Err(StoreError::HistoryGone { .. })));
    assert_eq!(eras.condition("a", ObjectVersion(0)), Ok(0), "it must not exist, whatever the era");
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let after = ObjectVersion::of(1, 8);
    let updated = |expected| eras.updated("a".to_owned(), peer, expected, after);
    assert!(matches!(updated(before), Err(StoreError::Unavailable { .. })));
    assert_eq!(updated(ObjectVersion::of(1, 7)), Ok(after));
}
