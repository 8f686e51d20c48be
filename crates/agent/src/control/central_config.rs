//! Configurations of the whole fleet: all documents and host routes under one version.

use std::sync::Arc;

use model::ConfigVersion;
use settings::FleetConfig;

use crate::control::state::Control;

impl Control {
    /// Puts a configuration in force; the versions that come here only rise.
    pub(super) fn on_central_config(&mut self, config: &FleetConfig) {
        log::info!(
            target: "config",
            "Version {} of the fleet's configuration is in force: {} services, {} routes.",
            config.version, config.documents.len(), config.routing.routes().count(),
        );
        for (service, text) in &config.documents {
            // Most versions change routes only: a document that stays keeps its queue and connections.
            let same = self.documents.in_force(service).is_some_and(|it| it.text == *text);
            if !same {
                self.apply_document(service, config.version.max(ConfigVersion(1)), text);
            }
        }
        self.routing = Some(Arc::clone(&config.routing));
        self.dirty = true;
        let now = self.now();
        for (service, _) in &config.documents {
            self.look_up_service(now, service.clone());
        }
    }
}
