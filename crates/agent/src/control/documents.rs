//! The table of documents in force: the highest version seen of each, never an older one.

use std::{collections::BTreeMap, sync::Arc};

use model::{ConfigVersion, ServiceName};
use settings::ServiceDocument;

/// A document in force on this instance.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub(crate) version: ConfigVersion,
    pub(crate) text: Arc<str>,
    pub(crate) document: Arc<ServiceDocument>,
}

/// What came of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Raised {
    /// It is in force now.
    Yes,
    /// This version, or a later one, already was.
    Known,
    /// It doesn't hold; the former one stays in force.
    Invalid,
}

#[derive(Debug, Default)]
pub(crate) struct Documents {
    table: BTreeMap<ServiceName, InForce>,
}

impl Documents {
    /// Puts an accepted document in force unless a later one is.
    pub(crate) fn raise(
        &mut self,
        service: &ServiceName,
        version: ConfigVersion,
        text: &str,
    ) -> Raised {
        let former = self.version(service);
        if version <= former {
            return Raised::Known;
        }
        let document = match ServiceDocument::parse(text) {
            Ok(document) if document.service == *service => document,
            Ok(document) => {
                log::error!(target: "config", "Version {version} of {service} names {}.", document.service);
                return Raised::Invalid;
            }
            Err(problems) => {
                log::error!(target: "config", "Version {version} of {service} doesn't hold: {problems}.");
                return Raised::Invalid;
            }
        };
        let entry = InForce { version, text: Arc::from(text), document: Arc::new(document) };
        self.table.insert(service.clone(), entry);
        assert!(self.version(service) > former, "a document in force only rises");
        log::info!(target: "config", "Version {version} of {service} is in force.");
        Raised::Yes
    }

    pub(crate) fn of(&self, service: &ServiceName) -> Option<&InForce> {
        self.table.get(service)
    }

    /// The version in force; 0 if there is none.
    pub(crate) fn version(&self, service: &ServiceName) -> ConfigVersion {
        self.of(service).map_or(ConfigVersion(0), |it| it.version)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &InForce)> {
        self.table.iter()
    }
}
