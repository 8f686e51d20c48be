//! The example documents and settings in `examples/` are valid.

use crate::{AgentSettings, ServiceDocument};

/// All documents in `examples/`, each with its service.
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
fn example_documents_are_valid() {
    for (service, text) in DOCUMENTS {
        check(service, text);
    }
}

#[test]
fn keyed_services_and_ownership_weights_of_the_examples_differ_as_intended() {
    let documents = DOCUMENTS.map(|(service, text)| check(service, text));
    let keyed = documents.iter().filter(|it| it.keyed).map(|it| it.service.as_str());
    assert_eq!(keyed.collect::<Vec<_>>(), ["standings", "avaliacao"]);
    let [_, _, standings, avaliacao, ..] = documents.map(|it| it.ownership);
    let (club, firm) = (standings, avaliacao);
    assert!(
        club.availability_weight > firm.availability_weight,
        "the club example must give availability more weight than the firm example"
    );
    assert!(
        club.churn_per_minute_max > firm.churn_per_minute_max,
        "the firm example must allow less churn than the club example"
    );
}

#[test]
fn example_settings_are_valid() {
    let settings = AgentSettings::parse(SETTINGS).unwrap_or_else(|it| panic!("{it}"));
    assert_eq!(settings.service.as_str(), "standings");
}
