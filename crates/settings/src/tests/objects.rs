//! Accepted versions only increase.

use model::{ObjectVersion, ServiceName};

use crate::AcceptedDocument;

fn check(current: Option<u64>, offered: u64, expected: Option<u64>) {
    let raise = |current: Option<&AcceptedDocument>, version: u64| {
        let service = ServiceName::new("standings").unwrap();
        AcceptedDocument::raised(current, service, ObjectVersion(version), "{}".to_owned())
    };
    let current = current.map(|it| raise(None, it).unwrap());
    assert_eq!(raise(current.as_ref(), offered).map(|it| it.version.0), expected);
}

#[test]
fn only_newer_versions_are_accepted() {
    check(None, 4, Some(4));
    check(Some(4), 5, Some(5));
    check(Some(4), 4, None);
    check(Some(4), 3, None);
}
