//! Central configurations: the documents of all services and all host routes under one version.

use std::sync::Arc;

use model::ConfigVersion;
use settings::CentralConfig;

use crate::control::state::Control;

impl Control {
    /// Puts a configuration in force. The source only supplies increasing versions.
    pub(super) fn on_central_config(&mut self, config: &CentralConfig) {
        log::info!(
            target: "config",
            "Version {} of the central configuration is in force: {} services, {} host routes.",
            config.version, config.documents.len(), config.routing.routes().count(),
        );
        for (service, text) in &config.documents {
            // Most versions only change routes. A service whose document is unchanged keeps its
            // queue and connections.
            let is_unchanged = self.documents.in_force(service).is_some_and(|it| it.text == *text);
            if !is_unchanged {
                self.apply_document(service, config.version.max(ConfigVersion(1)), text);
            }
        }
        self.routing = Some(Arc::clone(&config.routing));
        self.is_dirty = true;
        let now = self.now();
        for (service, _) in &config.documents {
            self.look_up_service(now, service.clone());
        }
    }
}
