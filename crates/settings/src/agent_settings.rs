//! Settings of an agent, read when it starts.

use std::{net::SocketAddr, ops::RangeInclusive, sync::LazyLock, time::Duration};

use model::{InstanceName, ServiceName, TeamName, Zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    central::{DocumentDefaults, RawDocumentDefaults},
    parse::{Parsed, parse, schema_of},
    problem::Problems,
};

/// Shortest accepted length of the secret that authenticates links between agents.
const LINK_KEY_MIN_BYTES: usize = 16;

/// Accepted values of `memory_mb`.
const MEMORY_MB: RangeInclusive<f64> = 32.0..=1_048_576.0;

/// A text that is not the memory of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected a number of MiB from 32 to 1048576, not {0:?}")]
pub struct MemoryError(String);

static SCHEMA: LazyLock<serde_json::Value> = LazyLock::new(schema_of::<RawAgentSettings>);

/// Validated settings of an agent.
#[derive(Clone, PartialEq)]
pub struct AgentSettings {
    pub instance: InstanceName,
    pub zone: Zone,
    pub team: TeamName,
    pub service: ServiceName,
    /// Address to which callers and the local upstream connect.
    pub caller_address: SocketAddr,
    /// Address to which other agents forward requests.
    pub traffic_address: SocketAddr,
    /// Address to which other agents connect to exchange control messages, such as lease renewals.
    pub control_address: SocketAddr,
    pub metrics_address: SocketAddr,
    pub platform_address: SocketAddr,
    /// Secret that all agents share; never printed.
    pub link_key: String,
    /// Control addresses of other agents, queried while the platform is unavailable.
    pub peers: Vec<SocketAddr>,
    /// Address of the readiness endpoint, which reports whether the agent serves callers; `None` if
    /// there is no such endpoint.
    pub ready_address: Option<SocketAddr>,
    /// Address to which the local upstream sends announcements; `None` if it uses `caller_address`.
    pub announce_address: Option<SocketAddr>,
    /// Address of the local upstream, if it is known before the first announcement.
    pub upstream_address: Option<SocketAddr>,
    /// Number of threads for requests.
    pub traffic_threads: usize,
    /// Memory in bytes that the process may use. Half of it is for the bodies of requests and answers.
    pub memory_bytes_max: usize,
    /// Number of files and sockets that the process may have open; `None` if it is the system's limit for the process.
    pub descriptors_max: Option<usize>,
    /// Interval at which the local upstream sends announcements.
    pub announce_interval: Duration,
    /// Longest duration of a graceful stop, after which requests that are still running are
    /// aborted.
    pub stop_duration_max: Duration,
    /// Longest time until an accepted configuration must be in force. It determines whether agents may learn of changes
    /// in the store from each other.
    pub config_delay_max: Duration,
    /// Common defaults of the service documents that are built from a central configuration.
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

/// Serialised form of the settings, from which their JSON schema is generated.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawAgentSettings {
    /// Location of the JSON schema of these settings, for editors.
    #[serde(rename = "$schema", default)]
    schema: Option<String>,
    /// Unique name of this instance.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    instance: String,
    /// Availability zone of this instance.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    zone: String,
    /// Team that owns the service.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    team: String,
    /// Service of the upstream beside this agent.
    #[schemars(regex(pattern = "^[a-z0-9._-]{1,63}$"))]
    service: String,
    /// `IP:PORT` to which callers and the local upstream connect.
    caller_address: String,
    /// `IP:PORT` to which other agents forward requests.
    traffic_address: String,
    /// `IP:PORT` to which other agents connect for control messages, such as lease renewals.
    control_address: String,
    /// `IP:PORT` of the metrics endpoint.
    metrics_address: String,
    /// `IP:PORT` of the platform's object API.
    platform_address: String,
    /// Secret that all agents share, at least 16 bytes long.
    link_key: String,
    /// Control addresses (`IP:PORT`) of other agents, queried while the platform is unavailable.
    #[serde(default)]
    #[schemars(length(max = 64))]
    peers: Vec<String>,
    /// `IP:PORT` of the readiness endpoint, which reports whether the agent serves callers. If
    /// omitted, there is no such endpoint.
    #[serde(default)]
    ready_address: Option<String>,
    /// `IP:PORT` to which the local upstream sends announcements. If omitted, `caller_address` is
    /// used.
    #[serde(default)]
    announce_address: Option<String>,
    /// `IP:PORT` of the local upstream, if it is known before the first announcement.
    #[serde(default)]
    upstream_address: Option<String>,
    /// Interval in milliseconds at which the local upstream sends announcements.
    #[serde(default = "default_announced_every_ms")]
    #[schemars(range(min = 50, max = 60_000))]
    announced_every_ms: u64,
    /// Longest duration of a graceful stop, in milliseconds.
    #[serde(default = "default_stop_ms_max")]
    #[schemars(range(min = 500, max = 600_000))]
    stop_ms_max: u64,
    /// Longest time in seconds until a configuration must be in force after the store has accepted it. From 3 s on, a
    /// few agents watch the store for the others, which makes far fewer calls.
    #[serde(default = "default_config_delay_max_s")]
    #[schemars(range(min = 0.5, max = 3_600.0))]
    config_delay_max_s: f64,
    /// Common defaults of the service documents that are built from a central configuration.
    #[serde(default)]
    document_defaults: RawDocumentDefaults,
    /// Number of threads for requests.
    #[serde(default = "default_traffic_threads")]
    #[schemars(range(min = 1, max = 64))]
    traffic_threads: usize,
    /// Memory in MiB that the process may use. Half of it is for the bodies of requests and answers; requests beyond
    /// that are refused as not run.
    #[serde(default = "default_memory_mb")]
    #[schemars(range(min = 32.0, max = 1_048_576.0))]
    memory_mb: f64,
    /// Number of files and sockets that the process may have open. If omitted, it is the system's limit for the process.
    /// 200 are reserved for files; connections that the process accepts take half of the others.
    #[serde(default)]
    #[schemars(range(min = 256, max = 1_048_576))]
    descriptors_max: Option<usize>,
    /// A filter for log lines, such as `info` or `info,gate=debug`.
    #[serde(default = "default_log")]
    log: String,
}

fn default_traffic_threads() -> usize {
    2
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_announced_every_ms() -> u64 {
    1_000
}

fn default_config_delay_max_s() -> f64 {
    2.0
}

fn default_stop_ms_max() -> u64 {
    30_000
}

fn default_log() -> String {
    "info".to_owned()
}

impl AgentSettings {
    /// Parses and validates settings in JSON with comments. The error contains all problems found.
    pub fn parse(text: &str) -> Result<AgentSettings, Problems> {
        let mut problems = Problems::default();
        let settings = parse::<RawAgentSettings>(text, &SCHEMA, &mut problems)
            .and_then(|it| check(&it, &mut problems));
        problems.into_result(settings)
    }

    /// Returns the names, as in the text, of the fields that differ in `other`.
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
            ("memory_mb", self.memory_bytes_max == other.memory_bytes_max),
            ("descriptors_max", self.descriptors_max == other.descriptors_max),
            ("announced_every_ms", self.announce_interval == other.announce_interval),
            ("stop_ms_max", self.stop_duration_max == other.stop_duration_max),
            ("config_delay_max_s", self.config_delay_max == other.config_delay_max),
            ("document_defaults", self.document_defaults == other.document_defaults),
            ("log", self.log == other.log),
        ];
        fields.into_iter().filter(|(_, is_equal)| !is_equal).map(|(name, _)| name).collect()
    }

    /// Returns the JSON schema of settings.
    pub fn json_schema() -> serde_json::Value {
        SCHEMA.clone()
    }
}

/// Parses a value of the setting `memory_mb` from outside of the settings, and returns it in bytes.
pub fn parse_memory_mb(text: &str) -> Result<usize, MemoryError> {
    let memory_mb = text.trim().parse().ok().filter(|it| MEMORY_MB.contains(it));
    memory_mb.map(bytes_of_mb).ok_or_else(|| MemoryError(text.to_owned()))
}

fn bytes_of_mb(mb: f64) -> usize {
    (mb * f64::from(1 << 20)) as usize
}

fn check(parsed: &Parsed<RawAgentSettings>, problems: &mut Problems) -> Option<AgentSettings> {
    let raw = &parsed.raw;
    let mut checker = RuleChecker { parsed, problems };
    checker.check_link_key();
    let instance = checker.check_name("instance", InstanceName::new(&raw.instance));
    let zone = checker.check_name("zone", Zone::new(&raw.zone));
    let team = checker.check_name("team", TeamName::new(&raw.team));
    let service = checker.check_name("service", ServiceName::new(&raw.service));
    let caller = checker.check_address("caller_address", &raw.caller_address);
    let traffic = checker.check_address("traffic_address", &raw.traffic_address);
    let control = checker.check_address("control_address", &raw.control_address);
    let metrics = checker.check_address("metrics_address", &raw.metrics_address);
    let platform = checker.check_address("platform_address", &raw.platform_address);
    let ready = checker.check_optional_address("ready_address", &raw.ready_address);
    let announce = checker.check_optional_address("announce_address", &raw.announce_address);
    let upstream = checker.check_optional_address("upstream_address", &raw.upstream_address);
    checker.check_distinct(&[
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
        peers.map(|(index, it)| checker.check_address(&format!("peers[{index}]"), it)).collect();
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
        memory_bytes_max: bytes_of_mb(raw.memory_mb),
        descriptors_max: raw.descriptors_max,
        announce_interval: Duration::from_millis(raw.announced_every_ms),
        stop_duration_max: Duration::from_millis(raw.stop_ms_max),
        config_delay_max: Duration::from_secs_f64(raw.config_delay_max_s),
        document_defaults: raw.document_defaults.clone().into(),
        log: raw.log.clone(),
    })
}

struct RuleChecker<'a> {
    parsed: &'a Parsed<RawAgentSettings>,
    problems: &'a mut Problems,
}

impl RuleChecker<'_> {
    fn report(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(self.parsed.source.position(field), field, message);
    }

    fn check_name<T>(&mut self, field: &str, value: Result<T, model::NameError>) -> Option<T> {
        value.map_err(|error| self.report(field, format!("{error}."))).ok()
    }

    fn check_link_key(&mut self) {
        let len = self.parsed.raw.link_key.len();
        if len < LINK_KEY_MIN_BYTES {
            let message =
                format!("{len} bytes are too few: expected at least {LINK_KEY_MIN_BYTES}.");
            self.report("link_key", message);
        }
    }

    fn check_address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
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

    /// Returns `Some(None)` for an omitted address. Reports a problem and returns `None` for an
    /// invalid one.
    fn check_optional_address(
        &mut self,
        field: &str,
        text: &Option<String>,
    ) -> Option<Option<SocketAddr>> {
        match text {
            None => Some(None),
            Some(text) => self.check_address(field, text).map(Some),
        }
    }

    fn check_distinct(&mut self, addresses: &[(&str, Option<SocketAddr>)]) {
        for (index, (field, address)) in addresses.iter().enumerate() {
            let duplicate =
                addresses[..index].iter().find(|it| address.is_some() && it.1 == *address);
            if let Some((first, _)) = duplicate {
                self.report(field, format!("must differ from the address in {first}."));
            }
        }
    }
}
