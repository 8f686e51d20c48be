//! The table of documents in force: the highest version seen of each, never an older one.

use model::{ConfigVersion, ServiceName};
use settings::DocumentTable;

/// A document in force on this instance.
pub(crate) use settings::VersionedDocument as InForce;

/// What came of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RaiseOutcome {
    /// It is in force now.
    Raised,
    /// This version, or a later one, already was.
    Unchanged,
    /// It doesn't hold; the former one stays in force.
    Invalid,
}

#[derive(Debug, Default)]
pub(crate) struct Documents {
    table: DocumentTable,
}

impl Documents {
    /// Puts an accepted document in force unless a later one is.
    pub(crate) fn raise(
        &mut self,
        service: &ServiceName,
        version: ConfigVersion,
        text: &str,
    ) -> RaiseOutcome {
        let former = self.version(service);
        let raised = match self.table.take(service, version, text) {
            Ok(true) => RaiseOutcome::Raised,
            Ok(false) => return RaiseOutcome::Unchanged,
            Err(problems) => {
                log::error!(target: "config", "Version {version} of {service} doesn't hold: {problems}");
                return RaiseOutcome::Invalid;
            }
        };
        assert!(self.version(service) > former, "a document in force only rises");
        log::info!(target: "config", "Version {version} of {service} is in force.");
        raised
    }

    /// Whether the text of a version that a peer knows of is worth fetching.
    pub(crate) fn should_fetch(&self, service: &ServiceName, version: ConfigVersion) -> bool {
        self.table.wants(service, version)
    }

    pub(crate) fn in_force(&self, service: &ServiceName) -> Option<&InForce> {
        self.table.of(service)
    }

    /// The version in force; 0 if there is none.
    pub(crate) fn version(&self, service: &ServiceName) -> ConfigVersion {
        self.table.version(service)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &InForce)> {
        self.table.iter()
    }
}
