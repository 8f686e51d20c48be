//! The table of documents in force, each at the highest valid version received so far.

use model::{ConfigVersion, ServiceName};
use settings::DocumentTable;

/// A document in force on this instance.
pub(crate) use settings::VersionedDocument as InForce;

/// The outcome of raising a document to a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RaiseOutcome {
    /// The version is now in force.
    Raised,
    /// This version or a later one was already in force.
    Unchanged,
    /// The document is invalid for this agent; the former version stays in force.
    Invalid,
}

/// The documents in force on this instance, by service.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    table: DocumentTable,
}

impl Documents {
    /// Puts an accepted document in force unless the same or a later version already is.
    pub(crate) fn raise(
        &mut self,
        service: &ServiceName,
        version: ConfigVersion,
        text: &str,
    ) -> RaiseOutcome {
        let former = self.version(service);
        let raised = match self.table.raise(service, version, text) {
            Ok(true) => RaiseOutcome::Raised,
            Ok(false) => return RaiseOutcome::Unchanged,
            Err(problems) => {
                log::error!(target: "config", "Version {version} of {service} is invalid and not put in force: {problems}");
                return RaiseOutcome::Invalid;
            }
        };
        assert!(self.version(service) > former, "the version in force must increase");
        log::info!(target: "config", "Version {version} of {service} is in force.");
        raised
    }

    /// Returns whether a version that a peer announced is newer than the one in force and all invalid
    /// ones received so far.
    pub(crate) fn should_fetch(&self, service: &ServiceName, version: ConfigVersion) -> bool {
        self.table.should_fetch(service, version)
    }

    /// Returns the document in force of a service.
    pub(crate) fn in_force(&self, service: &ServiceName) -> Option<&InForce> {
        self.table.in_force(service)
    }

    /// Returns the version in force, or 0 if there is none.
    pub(crate) fn version(&self, service: &ServiceName) -> ConfigVersion {
        self.table.version(service)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &InForce)> {
        self.table.iter()
    }
}
