//! Which version of a document is accepted, and which one an agent goes by: only ever a higher one.

use std::{collections::BTreeMap, sync::Arc};

use model::{ConfigVersion, ObjectVersion, ServiceName};

use crate::{AcceptedDocument, Problems, RefusedDocument, ServiceDocument};

/// What a coordinator does about the state of `services/S`.
#[derive(Debug, Clone, PartialEq)]
pub enum DocumentDecision {
    /// It is accepted already, or older than what is.
    Keep,
    /// `accepted/S` becomes this, on condition that it is still as it was read.
    Raise(AcceptedDocument),
    /// The former version stays in force.
    Refuse(RefusedDocument),
}

/// Judges a document against the accepted one; the same on every coordinator at any time.
pub fn decide_document(
    service: &ServiceName,
    accepted: Option<&AcceptedDocument>,
    version: ObjectVersion,
    body: &[u8],
) -> DocumentDecision {
    let refuse = |reasons: Vec<String>| {
        DocumentDecision::Refuse(RefusedDocument { version: ConfigVersion(version.0), reasons })
    };
    let Ok(text) = std::str::from_utf8(body) else {
        return refuse(vec!["the document is not UTF-8.".to_owned()]);
    };
    let raised = AcceptedDocument::raised(accepted, service.clone(), version, text.to_owned());
    let Some(raised) = raised else { return DocumentDecision::Keep };
    let former = accepted.map(|it| (it.version, ServiceDocument::parse(&it.document)));
    let parsed = match &former {
        None => ServiceDocument::parse_for(service, text),
        Some((_, Ok(former))) => ServiceDocument::parse_change(text, former),
        // A newer program accepted it. What may not change can't be checked, so nothing changes.
        Some((version, Err(_))) => {
            let reason = format!("the coordinator's program is too old to read version {version}.");
            return refuse(vec![reason]);
        }
    };
    match parsed {
        Ok(_) => DocumentDecision::Raise(raised),
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

/// The documents that an agent goes by, each at the highest version seen. Nothing here goes back,
/// whatever order versions come in.
#[derive(Debug, Default)]
pub struct DocumentTable {
    entries: BTreeMap<ServiceName, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    in_force: Option<VersionedDocument>,
    /// The highest version that does not hold for this agent; 0 if there is none.
    unreadable: ConfigVersion,
}

impl Entry {
    fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }
}

impl DocumentTable {
    /// Takes an accepted version; true if it is in force here from now on. One that does not hold,
    /// because this agent is older than the program that accepted it, leaves the former in force.
    pub fn raise(
        &mut self,
        service: &ServiceName,
        version: ConfigVersion,
        text: &str,
    ) -> Result<bool, Problems> {
        let entry = self.entries.entry(service.clone()).or_default();
        if version <= entry.version() {
            return Ok(false);
        }
        let document = match ServiceDocument::parse_for(service, text) {
            Ok(document) => Arc::new(document),
            Err(problems) => {
                entry.unreadable = entry.unreadable.max(version);
                return Err(problems);
            }
        };
        entry.in_force = Some(VersionedDocument { version, text: Arc::from(text), document });
        Ok(true)
    }

    /// Whether the text of a version that a peer knows of is worth fetching.
    pub fn should_fetch(&self, service: &ServiceName, version: ConfigVersion) -> bool {
        self.entries.get(service).is_none_or(|it| version > it.version().max(it.unreadable))
    }

    /// The document in force here.
    pub fn in_force(&self, service: &ServiceName) -> Option<&VersionedDocument> {
        self.entries.get(service)?.in_force.as_ref()
    }

    /// The version in force here; 0 if there is none.
    pub fn version(&self, service: &ServiceName) -> ConfigVersion {
        self.entries.get(service).map_or(ConfigVersion(0), Entry::version)
    }

    /// All services with a document in force here.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &VersionedDocument)> {
        self.entries.iter().filter_map(|(service, it)| Some((service, it.in_force.as_ref()?)))
    }
}
