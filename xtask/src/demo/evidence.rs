//! Evidence of one run: journals of callers and upstreams, and the injected faults.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use model::{RequestId, Term, Token};
use standins::journal::{CallRecord, RunEnd, RunEntry};

/// Input of a verdict.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) upstreams: Vec<UpstreamJournal>,
    pub(crate) stops: Vec<PlannedStop>,
    pub(crate) ingress_outages: Vec<IngressOutage>,
    /// Window in which the availability of keys is checked.
    pub(crate) observed: Window,
    /// Keys that are requested continuously; only their unavailability can be measured.
    pub(crate) probed_keys: HashSet<String>,
    /// Window without faults, over which the imbalance is measured.
    pub(crate) fault_free: Window,
    /// Window over which changes of owners are counted; it ends before the final stops, which move all
    /// keys.
    pub(crate) churn_window: Window,
}

/// Interval of wall-clock time in nanoseconds, without its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Window {
    pub(crate) from_ns: u64,
    pub(crate) until_ns: u64,
}

impl Window {
    pub(crate) fn contains(self, at_ns: u64) -> bool {
        (self.from_ns..self.until_ns).contains(&at_ns)
    }

    pub(crate) fn overlaps(self, from_ns: u64, until_ns: u64) -> bool {
        from_ns < self.until_ns && until_ns > self.from_ns
    }
}

/// Journal of one incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamJournal {
    pub(crate) instance: String,
    pub(crate) service: String,
    /// Whether the service is sharded by key.
    pub(crate) keyed: bool,
    pub(crate) entries: Vec<RunEntry>,
    /// Time at which the process had exited; runs without an end count as running until then.
    pub(crate) exited_ns: u64,
    /// Windows in which the process was suspended by a signal.
    pub(crate) frozen: Vec<Window>,
}

/// Graceful stop of an instance.
#[derive(Debug, Clone)]
pub(crate) struct PlannedStop {
    pub(crate) instance: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) window: Window,
}

/// Time in which an agent was killed or suspended: failures at this agent do not show that a key is
/// unavailable.
#[derive(Debug, Clone)]
pub(crate) struct IngressOutage {
    pub(crate) caller_address: SocketAddr,
    pub(crate) window: Window,
}

/// One execution of a request on an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) instance: String,
    pub(crate) service: String,
    pub(crate) keyed: bool,
    pub(crate) id: RequestId,
    pub(crate) key: String,
    pub(crate) token: Option<Token>,
    pub(crate) from_ns: u64,
    pub(crate) until_ns: u64,
    /// How the run ended; `None` if the process exited before.
    pub(crate) end: Option<RunEnd>,
}

/// Shard key of a service; a service that is not sharded has one key for all requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceKey {
    pub(crate) service: String,
    pub(crate) key: String,
}

impl Evidence {
    /// Returns whether a service is sharded by key.
    pub(crate) fn is_keyed(&self, service: &str) -> bool {
        self.upstreams.iter().any(|it| it.keyed && it.service == service)
    }

    /// Returns all executions, in the order of their starts.
    pub(crate) fn executions(&self) -> Vec<Execution> {
        let mut executions: Vec<Execution> =
            self.upstreams.iter().flat_map(UpstreamJournal::executions).collect();
        executions.sort_by_key(|it| it.from_ns);
        executions
    }
}

impl UpstreamJournal {
    fn executions(&self) -> Vec<Execution> {
        let mut open: HashMap<u64, usize> = HashMap::new();
        let mut executions = Vec::new();
        for entry in &self.entries {
            match entry {
                RunEntry::Started { at_ns, run, id, key, token, .. } => {
                    open.insert(*run, executions.len());
                    executions.push(Execution {
                        instance: self.instance.clone(),
                        service: self.service.clone(),
                        keyed: self.keyed,
                        id: *id,
                        key: key.clone(),
                        token: token.as_deref().and_then(parse_token),
                        from_ns: *at_ns,
                        until_ns: self.exited_ns,
                        end: None,
                    });
                }
                RunEntry::Ended { at_ns, run, end } => {
                    if let Some(index) = open.remove(run) {
                        executions[index].until_ns = self.last_work_ns(*at_ns, *end);
                        executions[index].end = Some(*end);
                    }
                }
                RunEntry::EndsUnder { at_ns, .. } => {
                    for index in open.drain().map(|(_, index)| index) {
                        executions[index].until_ns = *at_ns;
                    }
                }
                RunEntry::Refused { .. } | RunEntry::Draining { .. } | RunEntry::States { .. } => {}
            }
        }
        executions
    }

    /// Returns the time at which a run last did work. If its deadline passed while the process was
    /// suspended, that is the start of the suspension: the upstream checks the deadline first after
    /// it resumes.
    fn last_work_ns(&self, ended_ns: u64, end: RunEnd) -> u64 {
        let frozen = self.frozen.iter().find(|it| it.contains(ended_ns));
        match frozen {
            Some(frozen) if end == RunEnd::DeadlineExceeded => frozen.from_ns,
            _ => ended_ns,
        }
    }
}

/// Groups executions by key, each group in the order of the starts.
pub(crate) fn by_key(executions: &[Execution]) -> BTreeMap<ServiceKey, Vec<&Execution>> {
    let mut keys: BTreeMap<ServiceKey, Vec<&Execution>> = BTreeMap::new();
    for execution in executions.iter().filter(|it| it.keyed) {
        let key = ServiceKey { service: execution.service.clone(), key: execution.key.clone() };
        keys.entry(key).or_default().push(execution);
    }
    keys
}

fn parse_token(text: &str) -> Option<Token> {
    let (term, sequence) = text.split_once('.')?;
    Some(Token { term: Term(term.parse().ok()?), sequence: sequence.parse().ok()? })
}
