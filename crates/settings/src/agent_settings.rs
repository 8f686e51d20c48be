//! What an agent is told when it starts.

use std::{net::SocketAddr, sync::LazyLock, time::Duration};

use model::{InstanceName, ServiceName, TeamName, Zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    central::{DocumentDefaults, RawDocumentDefaults},
    parse::{Parsed, parse, schema_of},
    problem::Problems,
};

/// The shortest secret that links between agents may rest on, in bytes.
const LINK_KEY_MIN_BYTES: usize = 16;

static SCHEMA: LazyLock<serde_json::Value> = LazyLock::new(schema_of::<RawAgentSettings>);

/// Checked settings of one agent.
#[derive(Clone, PartialEq)]
pub struct AgentSettings {
    pub instance: InstanceName,
    pub zone: Zone,
    pub team: TeamName,
    pub service: ServiceName,
    /// Where callers and the local upstream connect.
    pub caller_address: SocketAddr,
    /// Where other agents hand requests on.
    pub traffic_address: SocketAddr,
    /// Where other agents exchange leases.
    pub control_address: SocketAddr,
    pub metrics_address: SocketAddr,
    pub platform_address: SocketAddr,
    /// The secret that all agents share; never printed.
    pub link_key: String,
    /// Control addresses of other agents, asked while the platform is down.
    pub peers: Vec<SocketAddr>,
    /// Where the agent says whether it serves callers; none: nobody asks.
    pub ready_address: Option<SocketAddr>,
    /// Where the local upstream announces itself, if not at the caller address.
    pub announce_address: Option<SocketAddr>,
    /// Where the local upstream listens, if it is known before it announces itself.
    pub upstream_address: Option<SocketAddr>,
    pub traffic_threads: usize,
    /// How often the local upstream announces itself.
    pub announce_interval: Duration,
    /// How long a graceful stop may take until what still runs is cut off.
    pub stop_duration_max: Duration,
    /// What the service documents of a fleet's configuration have in common.
    pub document_defaults: DocumentDefaults,
    /// A filter for log lines, such as `info` or `info,gate=debug`.
    pub log: String,
}

impl std::fmt::Debug for AgentSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentSettings")
            .field("instance", &self.instance)
            .field("zone", &self.zone)
            .field("service", &self.service)
            .field("control_address", &self.control_address)
            .finish_non_exhaustive()
    }
}

/// The settings as they are written.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawAgentSettings {
    /// The JSON schema of these settings, for editors.
    #[serde(rename = "$schema", default)]
    schema: Option<String>,
    /// The name of this instance, unlike that of any other.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    instance: String,
    /// The availability zone.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    zone: String,
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    team: String,
    /// The service whose upstream runs beside this agent.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    service: String,
    /// `IP:PORT` for callers and the local upstream.
    caller_address: String,
    /// `IP:PORT` for requests that other agents hand on.
    traffic_address: String,
    /// `IP:PORT` for leases.
    control_address: String,
    /// `IP:PORT` for metrics.
    metrics_address: String,
    /// `IP:PORT` of the platform's object API.
    platform_address: String,
    /// The secret that all agents share: at least 16 bytes.
    link_key: String,
    /// `IP:PORT` of other agents' control addresses, asked while the platform is down.
    #[serde(default)]
    #[schemars(length(max = 64))]
    peers: Vec<String>,
    /// `IP:PORT` for the question whether the agent serves callers.
    #[serde(default)]
    ready_address: Option<String>,
    /// `IP:PORT` for announcements of the local upstream, if not the caller address.
    #[serde(default)]
    announce_address: Option<String>,
    /// `IP:PORT` of the local upstream, where it is known beforehand.
    #[serde(default)]
    upstream_address: Option<String>,
    /// How often the local upstream announces itself.
    #[serde(default = "default_announced_every_ms")]
    #[schemars(range(min = 50, max = 60_000))]
    announced_every_ms: u64,
    /// How long a graceful stop may take.
    #[serde(default = "default_stop_ms_max")]
    #[schemars(range(min = 500, max = 600_000))]
    stop_ms_max: u64,
    /// What the service documents have in common where they are made from a configuration of the
    /// whole fleet.
    #[serde(default)]
    document_defaults: RawDocumentDefaults,
    #[serde(default = "default_traffic_threads")]
    #[schemars(range(min = 1, max = 64))]
    traffic_threads: usize,
    /// A filter for log lines, such as `info` or `info,gate=debug`.
    #[serde(default = "default_log")]
    log: String,
}

fn default_traffic_threads() -> usize {
    2
}

fn default_announced_every_ms() -> u64 {
    1_000
}

fn default_stop_ms_max() -> u64 {
    30_000
}

fn default_log() -> String {
    "info".to_owned()
}

impl AgentSettings {
    /// Parses and checks settings in JSON with comments; reports all problems at once.
    pub fn parse(text: &str) -> Result<AgentSettings, Problems> {
        let mut problems = Problems::default();
        let settings = parse::<RawAgentSettings>(text, &SCHEMA, &mut problems)
            .and_then(|it| check(&it, &mut problems));
        problems.or(settings)
    }

    /// The fields in which other settings differ, by their names in the text.
    pub fn changed_fields(&self, other: &AgentSettings) -> Vec<&'static str> {
        let fields = [
            ("instance", self.instance == other.instance),
            ("zone", self.zone == other.zone),
            ("team", self.team == other.team),
            ("service", self.service == other.service),
            ("caller_address", self.caller_address == other.caller_address),
            ("traffic_address", self.traffic_address == other.traffic_address),
            ("control_address", self.control_address == other.control_address),
            ("metrics_address", self.metrics_address == other.metrics_address),
            ("platform_address", self.platform_address == other.platform_address),
            ("link_key", self.link_key == other.link_key),
            ("peers", self.peers == other.peers),
            ("ready_address", self.ready_address == other.ready_address),
            ("announce_address", self.announce_address == other.announce_address),
            ("upstream_address", self.upstream_address == other.upstream_address),
            ("traffic_threads", self.traffic_threads == other.traffic_threads),
            ("announced_every_ms", self.announce_interval == other.announce_interval),
            ("stop_ms_max", self.stop_duration_max == other.stop_duration_max),
            ("document_defaults", self.document_defaults == other.document_defaults),
            ("log", self.log == other.log),
        ];
        fields.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }

    /// The JSON schema of the text.
    pub fn json_schema() -> serde_json::Value {
        SCHEMA.clone()
    }
}

fn check(parsed: &Parsed<RawAgentSettings>, problems: &mut Problems) -> Option<AgentSettings> {
    let raw = &parsed.raw;
    let mut rules = Rules { parsed, problems };
    rules.link_key();
    let instance = rules.taken("instance", InstanceName::new(&raw.instance));
    let zone = rules.taken("zone", Zone::new(&raw.zone));
    let team = rules.taken("team", TeamName::new(&raw.team));
    let service = rules.taken("service", ServiceName::new(&raw.service));
    let caller = rules.address("caller_address", &raw.caller_address);
    let traffic = rules.address("traffic_address", &raw.traffic_address);
    let control = rules.address("control_address", &raw.control_address);
    let metrics = rules.address("metrics_address", &raw.metrics_address);
    let platform = rules.address("platform_address", &raw.platform_address);
    let ready = rules.optional_address("ready_address", &raw.ready_address);
    let announce = rules.optional_address("announce_address", &raw.announce_address);
    let upstream = rules.optional_address("upstream_address", &raw.upstream_address);
    rules.distinct(&[
        ("caller_address", caller),
        ("traffic_address", traffic),
        ("control_address", control),
        ("metrics_address", metrics),
        ("platform_address", platform),
        ("ready_address", ready.flatten()),
        ("announce_address", announce.flatten()),
        ("upstream_address", upstream.flatten()),
    ]);
    let peers = raw.peers.iter().enumerate();
    let peers: Vec<Option<SocketAddr>> =
        peers.map(|(index, it)| rules.address(&format!("peers[{index}]"), it)).collect();
    Some(AgentSettings {
        instance: instance?,
        zone: zone?,
        team: team?,
        service: service?,
        caller_address: caller?,
        traffic_address: traffic?,
        control_address: control?,
        metrics_address: metrics?,
        platform_address: platform?,
        link_key: raw.link_key.clone(),
        peers: peers.into_iter().collect::<Option<Vec<_>>>()?,
        ready_address: ready?,
        announce_address: announce?,
        upstream_address: upstream?,
        traffic_threads: raw.traffic_threads,
        announce_interval: Duration::from_millis(raw.announced_every_ms),
        stop_duration_max: Duration::from_millis(raw.stop_ms_max),
        document_defaults: raw.document_defaults.clone().into(),
        log: raw.log.clone(),
    })
}

struct Rules<'a> {
    parsed: &'a Parsed<RawAgentSettings>,
    problems: &'a mut Problems,
}

impl Rules<'_> {
    fn report(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(self.parsed.source.position(field), field, message);
    }

    fn taken<T>(&mut self, field: &str, value: Result<T, model::NameError>) -> Option<T> {
        value.map_err(|error| self.report(field, format!("{error}."))).ok()
    }

    fn link_key(&mut self) {
        let len = self.parsed.raw.link_key.len();
        if len < LINK_KEY_MIN_BYTES {
            let message =
                format!("{len} bytes are too few: expected at least {LINK_KEY_MIN_BYTES}.");
            self.report("link_key", message);
        }
    }

    fn address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => {
                self.report(field, "expected a port from 1 to 65535.");
                None
            }
            Ok(address) if address.ip().is_unspecified() => {
                self.report(
                    field,
                    "must not be an unspecified address, since other processes connect to it.",
                );
                None
            }
            Ok(address) => Some(address),
            Err(_) => {
                self.report(
                    field,
                    format!("expected IP:PORT, not {text:?}; host names are not resolved."),
                );
                None
            }
        }
    }

    /// None: there is one, and it is wrong.
    fn optional_address(
        &mut self,
        field: &str,
        text: &Option<String>,
    ) -> Option<Option<SocketAddr>> {
        match text {
            None => Some(None),
            Some(text) => self.address(field, text).map(Some),
        }
    }

    fn distinct(&mut self, addresses: &[(&str, Option<SocketAddr>)]) {
        for (index, (field, address)) in addresses.iter().enumerate() {
            let same = addresses[..index].iter().find(|it| address.is_some() && it.1 == *address);
            if let Some((first, _)) = same {
                self.report(field, format!("must differ from the address in {first}."));
            }
        }
    }
}
