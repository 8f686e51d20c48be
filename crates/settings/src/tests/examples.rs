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
    let keyed = |text| check_name(text).keyed;
    let keyed: Vec<&str> = DOCUMENTS.iter().filter(|it| keyed(it.1)).map(|it| it.0).collect();
    assert_eq!(keyed, ["standings", "avaliacao"]);
    let standings = check("standings", DOCUMENTS[2].1);
    let avaliacao = check("avaliacao", DOCUMENTS[3].1);
    let weight = |it: &ServiceDocument| it.ownership.availability_weight;
    assert!(weight(&standings) > weight(&avaliacao), "the club weighs unavailable time more");
    let churn = |it: &ServiceDocument| it.ownership.churn_per_minute_max;
    assert!(churn(&avaliacao) < churn(&standings), "the firm weighs churn more");
}

fn check_name(text: &str) -> ServiceDocument {
    ServiceDocument::parse(text).unwrap()
}

#[test]
fn settings_of_an_agent_are_accepted() {
    let settings = AgentSettings::parse(SETTINGS).unwrap_or_else(|it| panic!("{it}"));
    assert_eq!(settings.service.as_str(), "standings");
}
