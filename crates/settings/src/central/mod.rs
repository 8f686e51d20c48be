//! Central configuration: all services and the routes of all hosts under one version.

mod defaults;
mod routing;

use std::sync::Arc;

use model::{ConfigVersion, ServiceName};

pub use defaults::{CentralServiceConfig, DocumentDefaults};
pub use routing::{Backend, HostRoute, RoutingTable};

pub(crate) use defaults::RawDocumentDefaults;

/// One version of the central configuration: documents of all services and routes of all hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct CentralConfig {
    pub version: ConfigVersion,
    /// Text of the document of each service.
    pub documents: Vec<(ServiceName, Arc<str>)>,
    pub routing: Arc<RoutingTable>,
}
