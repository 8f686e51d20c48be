//! Versions only rise, in whatever order they come.

use model::{ConfigVersion, ObjectVersion, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::document::MINIMAL;
use crate::{Accepted, DocumentTable, Judgement, judge};

const RUNS: u64 = 200;
const STEPS: usize = 60;
const VERSION_MAX: u64 = 12;

fn service() -> ServiceName {
    ServiceName::new("standings").unwrap()
}

/// Every version has a text of its own; one in four can't be read.
fn accepted(version: u64) -> Accepted {
    let text = match version % 4 {
        3 => format!("{{ {version}"),
        _ => MINIMAL.replace("karerang", &format!("team-{version}")),
    };
    Accepted { service: service(), version: ConfigVersion(version), document: text }
}

fn in_force(table: &DocumentTable) -> u64 {
    let Some(it) = table.in_force(&service()) else { return 0 };
    assert_eq!(it.document.team.as_str(), format!("team-{}", it.version), "text and version agree");
    it.version.0
}

fn check_order(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut table = DocumentTable::default();
    let (mut highest, mut heard) = (0, 0);
    for _ in 0..STEPS {
        let version = rng.random_range(1..=VERSION_MAX);
        heard = heard.max(version);
        if rng.random_bool(0.5) {
            table.hear(&service(), ConfigVersion(version));
        } else {
            let taken = table.take(&accepted(version));
            assert_eq!(taken.is_err(), version % 4 == 3 && version > highest, "seed {seed}");
            highest = if taken == Ok(true) { version } else { highest };
        }
        assert_eq!(in_force(&table), highest, "seed {seed}: a version went back");
        assert!(table.behind().all(|it| it.1.0 == heard && heard > highest), "seed {seed}");
    }
}

#[test]
fn an_agent_never_goes_back() {
    (0..RUNS).for_each(check_order);
}

#[test]
fn a_version_heard_of_is_fetched_until_it_is_there() {
    let mut table = DocumentTable::default();
    assert!(table.hear(&service(), ConfigVersion(4)));
    assert_eq!(table.take(&accepted(2)), Ok(true));
    assert_eq!(table.behind().collect::<Vec<_>>(), [(&service(), ConfigVersion(4))]);
    assert_eq!(table.take(&accepted(4)), Ok(true));
    assert!(!table.hear(&service(), ConfigVersion(4)));
    assert_eq!(table.accepted(&service()), Some(accepted(4)));
    assert!(table.take(&accepted(7)).is_err());
    assert_eq!(table.behind().count(), 0, "a text that can't be read is not fetched for ever");
    assert_eq!(table.versions().collect::<Vec<_>>(), [(&service(), ConfigVersion(4))]);
}

fn check_judge(
    current: Option<u64>,
    offered: u64,
    text: &str,
    expected: Result<Option<u64>, &str>,
) {
    let current = current.map(accepted);
    let actual = match judge(&service(), current.as_ref(), ObjectVersion(offered), text.as_bytes())
    {
        Judgement::Keep => Ok(None),
        Judgement::Raise(it) => Ok(Some(it.version.0)),
        Judgement::Refuse(it) => {
            assert_eq!(it.version.0, offered);
            Err(it.reasons.join(" "))
        }
    };
    assert_eq!(actual, expected.map_err(str::to_owned));
}

#[test]
fn a_coordinator_raises_or_refuses() {
    check_judge(None, 4, MINIMAL, Ok(Some(4)));
    check_judge(Some(4), 5, MINIMAL, Ok(Some(5)));
    check_judge(Some(4), 4, MINIMAL, Ok(None));
    check_judge(Some(5), 4, "{", Ok(None));
    check_judge(Some(4), 5, "{", Err("line 1, column 1: Unterminated object."));
    let keyed = "line 4, column 3: keyed: may not change while the service runs; it is true.";
    check_judge(Some(4), 5, &MINIMAL.replace("true", "false"), Err(keyed));
    let other = MINIMAL.replace("standings", "lapboard");
    check_judge(None, 5, &other, Err("the document names the service lapboard."));
    // Without the accepted text nobody knows whether a service would change under its owners.
    let too_old = "the coordinator's program is too old to read version 3.";
    check_judge(Some(3), 5, MINIMAL, Err(too_old));
}
