//! Versions in force only increase, in whatever order they are received.

use model::{ConfigVersion, ObjectVersion, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::document::MINIMAL;
use crate::{AcceptedDocument, DocumentDecision, DocumentTable, decide_document};

const RUNS: u64 = 200;
const STEPS: usize = 60;
const VERSION_MAX: u64 = 12;

fn service() -> ServiceName {
    ServiceName::new("standings").unwrap()
}

/// Returns a version with a text that identifies it. The text of every fourth version is invalid.
fn accepted(version: u64) -> AcceptedDocument {
    let text = match version % 4 {
        3 => format!("{{ {version}"),
        _ => MINIMAL.replace("karerang", &format!("team-{version}")),
    };
    AcceptedDocument { service: service(), version: ConfigVersion(version), document: text }
}

fn raise(table: &mut DocumentTable, version: u64) -> Option<bool> {
    let it = accepted(version);
    table.raise(&it.service, it.version, &it.document).ok()
}

fn in_force(table: &DocumentTable) -> u64 {
    let Some(it) = table.in_force(&service()) else { return 0 };
    assert_eq!(
        it.document.team.as_str(),
        format!("team-{}", it.version),
        "the text in force belongs to another version"
    );
    it.version.0
}

fn check_random_order(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut table = DocumentTable::default();
    let (mut highest, mut invalid) = (0, 0);
    for _ in 0..STEPS {
        let version = rng.random_range(1..=VERSION_MAX);
        match raise(&mut table, version) {
            Some(raised) => {
                assert_eq!(raised, version > highest, "seed {seed}");
                highest = highest.max(version);
            }
            None => {
                assert!(version % 4 == 3 && version > highest, "seed {seed}");
                invalid = invalid.max(version);
            }
        }
        assert_eq!(
            in_force(&table),
            highest,
            "seed {seed}: expected the highest valid version in force"
        );
        let should_fetch = table.should_fetch(&service(), ConfigVersion(version + 1));
        assert_eq!(should_fetch, version + 1 > highest.max(invalid), "seed {seed}");
    }
}

#[test]
fn the_version_in_force_never_decreases() {
    (0..RUNS).for_each(check_random_order);
}

#[test]
fn an_invalid_version_is_not_fetched_again() {
    let mut table = DocumentTable::default();
    assert!(table.should_fetch(&service(), ConfigVersion(4)));
    assert_eq!(raise(&mut table, 4), Some(true));
    assert_eq!(raise(&mut table, 7), None);
    assert!(!table.should_fetch(&service(), ConfigVersion(7)));
    assert!(table.should_fetch(&service(), ConfigVersion(8)));
    let versions: Vec<u64> = table.iter().map(|it| it.1.version.0).collect();
    assert_eq!(versions, [4]);
    let other = ServiceName::new("lapboard").unwrap();
    assert!(
        table.raise(&other, ConfigVersion(9), MINIMAL).is_err(),
        "a document of another service was accepted"
    );
}

fn check_decision(
    current: Option<u64>,
    offered: u64,
    text: &str,
    expected: Result<Option<u64>, &str>,
) {
    let current = current.map(accepted);
    let actual = match decide_document(
        &service(),
        current.as_ref(),
        ObjectVersion(offered),
        text.as_bytes(),
    ) {
        DocumentDecision::Keep => Ok(None),
        DocumentDecision::Raise(it) => Ok(Some(it.version.0)),
        DocumentDecision::Refuse(it) => {
            assert_eq!(it.version.0, offered);
            Err(it.reasons.join(" "))
        }
    };
    assert_eq!(actual, expected.map_err(str::to_owned));
}

#[test]
fn valid_newer_documents_are_accepted_and_invalid_ones_refused() {
    check_decision(None, 4, MINIMAL, Ok(Some(4)));
    check_decision(Some(4), 5, MINIMAL, Ok(Some(5)));
    check_decision(Some(4), 4, MINIMAL, Ok(None));
    check_decision(Some(5), 4, "{", Ok(None));
    check_decision(Some(4), 5, "{", Err("line 1, column 1: Unterminated object."));
    let keyed =
        "line 4, column 3: keyed: cannot change while the service runs; the current value is true.";
    check_decision(Some(4), 5, &MINIMAL.replace("true", "false"), Err(keyed));
    let other = MINIMAL.replace("standings", "lapboard");
    check_decision(
        None,
        5,
        &other,
        Err(
            "line 2, column 3: service: must be standings, the service that the document is stored for.",
        ),
    );
    // The text of version 3 is invalid, so that changes of its fixed fields could not be detected.
    let too_old = "the coordinator's program version is too old to read accepted version 3.";
    check_decision(Some(3), 5, MINIMAL, Err(too_old));
}
