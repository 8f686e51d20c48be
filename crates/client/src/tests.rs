//! Tests of the base line.

use model::{ObjectVersion, ServiceName};

use crate::base::{self, BaseVersion, SplitFile};

fn check_base(file: &str, document: &str, base: Option<(&str, u64)>) {
    let base = base.map(|(service, version)| BaseVersion {
        service: service.to_owned(),
        version: ObjectVersion(version),
    });
    assert_eq!(base::split_base_line(file), SplitFile { document, base });
}

#[test]
fn only_a_valid_last_line_is_the_base_line() {
    check_base("{}\n// pomelohill: standings version 12\n", "{}\n", Some(("standings", 12)));
    check_base("{}\n// pomelohill: standings version 12\n\n", "{}\n", Some(("standings", 12)));
    check_base(
        "{}\n// pomelohill: standings version x\n",
        "{}\n// pomelohill: standings version x\n",
        None,
    );
    check_base(
        "// pomelohill: standings version 12\n{}",
        "// pomelohill: standings version 12\n{}",
        None,
    );
    check_base("", "", None);
}

#[test]
fn an_appended_base_line_is_split_off_again() {
    let service = ServiceName::new("standings").unwrap();
    for document in ["{}\n", "{\n  // ...\n}\n\n", "\n"] {
        let file = base::append_base_line(document, &service, ObjectVersion(3));
        check_base(&file, document, Some(("standings", 3)));
    }
    assert_eq!(
        base::append_base_line("{}", &service, ObjectVersion(3)),
        "{}\n// pomelohill: standings version 3\n"
    );
}
