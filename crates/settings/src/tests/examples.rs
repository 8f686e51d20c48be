//! The examples of the operators' pages are accepted.

use crate::{AgentSettings, ServiceDocument};

/// All documents under `examples/`, each with its service.
pub(super) const DOCUMENTS: [(&str, &str); 6] = [
    ("lapboard", include_str!("../../../../examples/club/lapboard.jsonc")),
    ("racecontrol", include_str!("../../../../examples/club/racecontrol.jsonc")),
    ("standings", include_str!("../../../../examples/club/standings.jsonc")),
    ("avaliacao", include_str!("../../../../examples/firm/avaliacao.jsonc")),
    ("levantamento", include_str!("../../../../examples/firm/levantamento.jsonc")),
    ("cotacao", include_str!("../../../../examples/firm/cotacao.jsonc")),
];

pub(super) const SETTINGS: &str = include_str!("../../../../examples/agent.jsonc");

fn check(service: &str, text: &str) -> ServiceDocument {
    let document = match ServiceDocument::parse(text) {
        Ok(document) => document,
        Err(problems) => panic!("{service}:\n{problems}"),
    };
    assert_eq!(document.service.as_str(), service);
    document
}

#[test]
fn documents_are_accepted() {
    for (service, text) in DOCUMENTS {
        check(service, text);
    }
}

#[test]
fn the_deployments_are_those_of_the_two_customers() {
    let documents = DOCUMENTS.map(|(service, text)| check(service, text));
    let keyed = documents.iter().filter(|it| it.keyed).map(|it| it.service.as_str());
    assert_eq!(keyed.collect::<Vec<_>>(), ["standings", "avaliacao"]);
    let [_, _, standings, avaliacao, ..] = documents.map(|it| it.ownership);
    let (club, firm) = (standings, avaliacao);
    assert!(club.availability_weight > firm.availability_weight, "the club fears unavailable time");
    assert!(club.churn_per_minute_max > firm.churn_per_minute_max, "the firm fears moves of keys");
}

#[test]
fn settings_of_an_agent_are_accepted() {
    let settings = AgentSettings::parse(SETTINGS).unwrap_or_else(|it| panic!("{it}"));
    assert_eq!(settings.service.as_str(), "standings");
}
