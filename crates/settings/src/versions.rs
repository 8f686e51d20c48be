//! Acceptance of document versions by coordinators, and the documents in force on an agent. Both
//! versions only increase.

use std::{collections::BTreeMap, sync::Arc};

use model::{ConfigVersion, ObjectVersion, ServiceName};

use crate::{AcceptedDocument, Problems, RefusedDocument, ServiceDocument};

/// Decision of a coordinator on a version of `services/S`.
#[derive(Debug, Clone, PartialEq)]
pub enum DocumentDecision {
    /// The same version or a newer one has already been accepted.
    Keep,
    /// The document is valid: it is to replace `accepted/S`, on condition that `accepted/S` has not
    /// changed since it was read.
    Raise(AcceptedDocument),
    /// The document is invalid: the previously accepted version stays in force.
    Refuse(RefusedDocument),
}

/// Decides whether a document replaces the accepted one. The result depends on the arguments alone,
/// so that all coordinators come to the same decision.
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
    let previous = accepted.map(|it| (it.version, ServiceDocument::parse(&it.document)));
    let parsed = match &previous {
        None => ServiceDocument::parse_for(service, text),
        Some((_, Ok(previous))) => ServiceDocument::parse_change(text, previous),
        // The accepted document was written for a newer program version and cannot be parsed here,
        // so that changes of its fixed fields would not be detected.
        Some((version, Err(_))) => {
            let reason = format!(
                "the coordinator's program version is too old to read accepted version {version}."
            );
            return refuse(vec![reason]);
        }
    };
    match parsed {
        Ok(_) => DocumentDecision::Raise(raised),
        Err(problems) => refuse(problems.iter().map(ToString::to_string).collect()),
    }
}

/// Parsed document with its version and its text, which the agent sends to other agents unmodified.
#[derive(Debug, Clone)]
pub struct VersionedDocument {
    pub version: ConfigVersion,
    pub text: Arc<str>,
    pub document: Arc<ServiceDocument>,
}

/// The documents in force on an agent, each at the highest valid version received. Versions never
/// decrease, whatever order they are received in.
#[derive(Debug, Default)]
pub struct DocumentTable {
    entries: BTreeMap<ServiceName, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    in_force: Option<VersionedDocument>,
    /// The highest version that this agent could not parse; 0 if there is none.
    invalid: ConfigVersion,
}

impl Entry {
    fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |it| it.version)
    }
}

impl DocumentTable {
    /// Puts an accepted version in force and returns whether it was newer than the current one. A
    /// version that this agent cannot parse, since a newer program accepted it, leaves the current
    /// one in force.
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
                entry.invalid = entry.invalid.max(version);
                return Err(problems);
            }
        };
        entry.in_force = Some(VersionedDocument { version, text: Arc::from(text), document });
        Ok(true)
    }

    /// Returns whether a version that a peer announced is newer than the one in force and than all
    /// that could not be parsed.
    pub fn should_fetch(&self, service: &ServiceName, version: ConfigVersion) -> bool {
        self.entries.get(service).is_none_or(|it| version > it.version().max(it.invalid))
    }

    /// Returns the document in force for a service.
    pub fn in_force(&self, service: &ServiceName) -> Option<&VersionedDocument> {
        self.entries.get(service)?.in_force.as_ref()
    }

    /// Returns the version in force for a service, or 0 if there is none.
    pub fn version(&self, service: &ServiceName) -> ConfigVersion {
        self.entries.get(service).map_or(ConfigVersion(0), Entry::version)
    }

    /// Returns the documents in force, with their services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &VersionedDocument)> {
        self.entries.iter().filter_map(|(service, it)| Some((service, it.in_force.as_ref()?)))
    }
}
