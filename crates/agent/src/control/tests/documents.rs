//! The table of documents in force.

use model::{ConfigVersion, ServiceName};

use crate::control::documents::{Documents, Raised};

const DOCUMENT: &str = r#"{
    "service": "standings", "team": "club", "keyed": true,
    "routes": [{ "path": "/*", "class": "lap", "idempotent": true }],
    "classes": [{ "name": "lap", "weight": 1 }]
}"#;

fn check(versions: &[u64], expected: &[Raised]) {
    let service = ServiceName::new("standings").unwrap();
    let mut documents = Documents::default();
    let mut highest = 0;
    for (version, expected) in versions.iter().zip(expected) {
        assert_eq!(documents.raise(&service, ConfigVersion(*version), DOCUMENT), *expected);
        highest = highest.max(*version);
        assert_eq!(documents.version(&service), ConfigVersion(highest));
    }
}

#[test]
fn versions_only_rise() {
    use Raised::{Known, Yes};
    check(&[3, 5, 4, 5, 9], &[Yes, Yes, Known, Known, Yes]);
}

#[test]
fn a_document_that_does_not_hold_leaves_the_former_in_force() {
    let service = ServiceName::new("standings").unwrap();
    let mut documents = Documents::default();
    documents.raise(&service, ConfigVersion(1), DOCUMENT);
    let broken = DOCUMENT.replace("standings", "other");
    assert_eq!(documents.raise(&service, ConfigVersion(2), &broken), Raised::Invalid);
    assert_eq!(documents.raise(&service, ConfigVersion(3), "{"), Raised::Invalid);
    assert_eq!(documents.version(&service), ConfigVersion(1));
}
