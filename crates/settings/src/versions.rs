//! Which version of a document is accepted, and which one an agent goes by: only ever a higher one.

use std::{collections::BTreeMap, sync::Arc};

use model::{ConfigVersion, ObjectVersion, ServiceName};

use crate::{Accepted, Problems, Refused, ServiceDocument};

/// What a coordinator does about the state of `services/S`.
#[derive(Debug, Clone, PartialEq)]
pub enum Judgement {
    /// It is accepted already, or older than what is.
    Keep,
    /// `accepted/S` becomes this, on condition that it is still as it was read.
    Raise(Accepted),
    /// The former version stays in force.
    Refuse(Refused),
}

/// Judges a document against the accepted one; the same on every coordinator at any time.
pub fn judge(
    service: &ServiceName,
    accepted: Option<&Accepted>,
    version: ObjectVersion,
    body: &[u8],
) -> Judgement {
    let refuse = |reasons: Vec<String>| {
        Judgement::Refuse(Refused { version: ConfigVersion(version.0), reasons })
    };
    let Ok(text) = std::str::from_utf8(body) else {
        return refuse(vec!["the document is not UTF-8.".to_owned()]);
    };
    let raised = Accepted::raised(accepted, service.clone(), version, text.to_owned());
    let Some(raised) = raised else { return Judgement::Keep };
    let former = accepted.map(|it| (it.version, ServiceDocument::parse(&it.document)));
    let parsed = match &former {
        None => ServiceDocument::parse(text),
        Some((_, Ok(former))) => ServiceDocument::parse_change(text, former),
        // A newer program accepted it. What may not change can't be checked, so nothing changes.
        Some((version, Err(_))) => {
            let reason = format!("the coordinator's program is too old to read version {version}.");
            return refuse(vec![reason]);
        }
    };
    match parsed {
        Ok(document) if document.service != *service => {
            refuse(vec![format!("the document names the service {}.", document.service)])
        }
        Ok(_) => Judgement::Raise(raised),
        Err(problems) => refuse(problems.iter().map(ToString::to_string).collect()),
    }
}

/// A document with its version and its text, as it is handed on.
#[derive(Debug, Clone)]
pub struct VersionedDocument {
    pub version: ConfigVersion,
    pub text: Arc<str>,
    pub document: Arc<ServiceDocument>,
}

/// The documents that an agent knows of, each at the highest version seen. Nothing here goes back,
/// whatever order versions come in.
#[derive(Debug, Default)]
pub struct DocumentTable {
    entries: BTreeMap<ServiceName, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    /// The highest version heard of.
    heard: ConfigVersion,
    /// The highest version whose text this agent cannot read.
    unreadable: ConfigVersion,
    in_force: Option<VersionedDocument>,
}

impl Entry {
    fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }

    fn is_behind(&self) -> bool {
        self.heard > self.version().max(self.unreadable)
    }
}

impl DocumentTable {
    /// Notes that a version has been accepted; true if its text is to be fetched.
    pub fn hear(&mut self, service: &ServiceName, version: ConfigVersion) -> bool {
        let entry = self.entries.entry(service.clone()).or_default();
        entry.heard = entry.heard.max(version);
        entry.is_behind()
    }

    /// Takes the text of an accepted version; true if it is now in force here. A text that cannot
    /// be read, by an agent older than it, leaves the former one in force.
    pub fn take(&mut self, accepted: &Accepted) -> Result<bool, Problems> {
        let Accepted { service, version, document } = accepted;
        self.hear(service, *version);
        let entry = self.entries.entry(service.clone()).or_default();
        if *version <= entry.version() {
            return Ok(false);
        }
        let parsed = match ServiceDocument::parse(document) {
            Ok(parsed) => parsed,
            Err(problems) => {
                entry.unreadable = entry.unreadable.max(*version);
                return Err(problems);
            }
        };
        entry.in_force = Some(VersionedDocument {
            version: *version,
            text: Arc::from(document.as_str()),
            document: Arc::new(parsed),
        });
        Ok(true)
    }

    /// The document in force here.
    pub fn in_force(&self, service: &ServiceName) -> Option<&VersionedDocument> {
        self.entries.get(service)?.in_force.as_ref()
    }

    /// What a peer that asks for the text is sent.
    pub fn accepted(&self, service: &ServiceName) -> Option<Accepted> {
        let it = self.in_force(service)?;
        let document = it.text.as_ref().to_owned();
        Some(Accepted { service: service.clone(), version: it.version, document })
    }

    /// Services of which a higher version is known than is in force here.
    pub fn behind(&self) -> impl Iterator<Item = (&ServiceName, ConfigVersion)> {
        let behind = self.entries.iter().filter(|it| it.1.is_behind());
        behind.map(|(service, entry)| (service, entry.heard))
    }

    /// All services with the version in force here; those without one are left out.
    pub fn versions(&self) -> impl Iterator<Item = (&ServiceName, ConfigVersion)> {
        let in_force = |entry: &Entry| entry.in_force.as_ref().map(|it| it.version);
        self.entries.iter().filter_map(move |(service, it)| Some((service, in_force(it)?)))
    }
}
