//! What callers and upstreams wrote down in one run, and what was done to the processes.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use model::{RequestId, Term, Token};
use standins::journal::{CallRecord, RunEnd, RunEntry};

/// All that a verdict rests on.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) upstreams: Vec<UpstreamJournal>,
    pub(crate) stops: Vec<PlannedStop>,
    pub(crate) ingress_outages: Vec<IngressOutage>,
    /// The time in which each key should be served.
    pub(crate) observed: Window,
    /// Keys that are asked for all the time. How long another one is not served can't be told.
    pub(crate) probed_keys: HashSet<String>,
    /// A time without faults, for the imbalance.
    pub(crate) fault_free: Window,
    /// The time over which changes of owners are counted: up to the last stops, which move all.
    pub(crate) churn_window: Window,
}

/// Wall-clock nanoseconds from `from_ns` to `until_ns`.
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

/// The journal of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamJournal {
    pub(crate) instance: String,
    pub(crate) service: String,
    /// Whether its service is divided by key.
    pub(crate) keyed: bool,
    pub(crate) entries: Vec<RunEntry>,
    /// When the process had ended; runs without an end count as open until then.
    pub(crate) exited_ns: u64,
    /// When the process was stopped by a signal.
    pub(crate) frozen: Vec<Window>,
}

/// An instance told to leave.
#[derive(Debug, Clone)]
pub(crate) struct PlannedStop {
    pub(crate) instance: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) window: Window,
}

/// An agent that was killed or frozen: what callers met there says nothing about a key.
#[derive(Debug, Clone)]
pub(crate) struct IngressOutage {
    pub(crate) caller_address: SocketAddr,
    pub(crate) window: Window,
}

/// One run of a request on an upstream.
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
    /// None: the process was gone before.
    pub(crate) end: Option<RunEnd>,
}

/// A key of a service; that of a service not divided by key is the same for all requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceKey {
    pub(crate) service: String,
    pub(crate) key: String,
}

impl Evidence {
    /// Whether a service is divided by key.
    pub(crate) fn is_keyed(&self, service: &str) -> bool {
        self.upstreams.iter().any(|it| it.keyed && it.service == service)
    }

    /// All runs, in the order of their starts.
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
                RunEntry::Refused { .. } | RunEntry::Draining { .. } => {}
            }
        }
        executions
    }

    /// When a run last did something. One whose deadline passed while its process was frozen did
    /// nothing from the freeze on: the upstream looks at the deadline first when it goes on.
    fn last_work_ns(&self, ended_ns: u64, end: RunEnd) -> u64 {
        let frozen = self.frozen.iter().find(|it| it.contains(ended_ns));
        match frozen {
            Some(frozen) if end == RunEnd::DeadlineExceeded => frozen.from_ns,
            _ => ended_ns,
        }
    }
}

/// Executions by key, each in the order of their starts.
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
