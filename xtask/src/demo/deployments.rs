//! Services of the two example deployments, a club's and a firm's.

use crate::cluster::ServiceSpec;

const CLUB_ZONES: &[&str] = &["pitlane", "drivers-stand", "scoring-hall"];
const FIRM_ZONES: &[&str] = &["porto-a", "braga-b", "gaia-c"];

const CLUB: ServiceSpec = ServiceSpec {
    team: "karerang",
    document: "",
    instances: 0,
    zones: CLUB_ZONES,
    routes: &[],
    service_ms: 4.0,
};

const FIRM: ServiceSpec = ServiceSpec {
    team: "vasconcelos",
    document: "",
    instances: 0,
    zones: FIRM_ZONES,
    routes: &[],
    service_ms: 8.0,
};

/// All services; the documents declare whether a service is sharded by key.
pub(crate) const SERVICES: &[ServiceSpec] = &[
    ServiceSpec {
        document: "examples/club/lapboard.jsonc",
        instances: 3,
        routes: &["GET:/lapboard/results:repeat:1", "POST:/lapboard/laps:repeat:3"],
        ..CLUB
    },
    ServiceSpec {
        document: "examples/club/racecontrol.jsonc",
        instances: 3,
        routes: &[
            "GET:/racecontrol/results:repeat:2",
            "PUT:/racecontrol/heats/{key}:repeat:1",
            "POST:/racecontrol/penalties:once:1",
        ],
        ..CLUB
    },
    ServiceSpec {
        document: "examples/club/standings.jsonc",
        instances: 4,
        routes: &[
            "GET:/standings/results:repeat:1",
            "POST:/standings/cars/{key}/laps:repeat:2",
            "POST:/standings/cars/{key}/penalties:once:1",
        ],
        ..CLUB
    },
    ServiceSpec {
        document: "examples/firm/avaliacao.jsonc",
        instances: 5,
        routes: &[
            "GET:/avaliacao/households/{key}/value:repeat:2",
            "POST:/avaliacao/households/{key}/valuations:once:1",
        ],
        ..FIRM
    },
    ServiceSpec {
        document: "examples/firm/levantamento.jsonc",
        instances: 3,
        routes: &["GET:/levantamento/drawdowns:repeat:2", "POST:/levantamento/drawdowns:once:1"],
        ..FIRM
    },
    ServiceSpec {
        document: "examples/firm/cotacao.jsonc",
        instances: 3,
        routes: &["GET:/cotacao/quotes:repeat:1", "POST:/cotacao/quotes:repeat:1"],
        ..FIRM
    },
];
