//! A configuration that comes as a whole: all services and the routes of all hosts, under one
//! version.

mod defaults;
mod routing;

use std::sync::Arc;

use model::{ConfigVersion, ServiceName};

pub use defaults::{CentralServiceConfig, DocumentDefaults};
pub use routing::{Backend, HostRoute, RoutingTable};

pub(crate) use defaults::RawDocumentDefaults;

/// One version of everything that a fleet goes by.
#[derive(Debug, Clone, PartialEq)]
pub struct CentralConfig {
    pub version: ConfigVersion,
    /// The document of each service, as text.
    pub documents: Vec<(ServiceName, Arc<str>)>,
    pub routing: Arc<RoutingTable>,
}
