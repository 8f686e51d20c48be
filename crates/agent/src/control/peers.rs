//! Messages from and to other control threads, and the dispatch of call results and gate reports.

use std::time::Duration;

use model::{ConfigVersion, GroupId, Instance, ServiceName, Timestamp};
use ownership::Input;
use wire::exchange::Envelope;

use crate::{
    control::{
        calls::CallResult,
        state::{Control, DocumentSource},
    },
    links::ControlEvent,
    report::Report,
};

/// The interval at which a coordinator resends all versions to its members, in case one was lost.
const VERSIONS_INTERVAL: Duration = Duration::from_secs(2);

impl Control {
    /// Handles an event of a control link.
    pub(crate) fn on_peer_event(&mut self, event: ControlEvent) {
        let ControlEvent::Message { from, payload } = event;
        match Envelope::decode(&payload) {
            Ok(envelope) => self.on_envelope(from, envelope),
            Err(error) => {
                log::warn!(target: "control", "Ignored a malformed message of {from}: {error}.")
            }
        }
    }

    fn on_envelope(&mut self, from: Instance, envelope: Envelope) {
        match envelope {
            Envelope::Group { service, group, payload }
                if service == *self.service()
                    && self.group.as_ref().is_some_and(|it| it.id == group) =>
            {
                self.on_group_message(from, &payload);
            }
            Envelope::Group { service, group, .. } => {
                log::debug!(target: "control", "Ignored a group message of {from}: this instance does not belong to group {group} of {service}.");
            }
            Envelope::FetchDocument { service } => self.send_document(&from, service),
            // Documents of a central configuration are not replaced one by one.
            Envelope::Document { .. }
                if self.parts.documents_from == DocumentSource::CentralConfig => {}
            Envelope::Document { service, version, text } => {
                self.apply_document(&service, version, &text);
            }
            Envelope::Versions(versions) => {
                versions.into_iter().for_each(|(service, version)| {
                    self.on_version_announced(&from, service, version);
                });
            }
            Envelope::FetchRoutes { service, group, known_version } => {
                self.send_routes(&from, &(service, group), known_version)
            }
            Envelope::Routes(table) => self.on_routes(from, table),
            Envelope::RoutesUnchanged { service, group, version, config } => {
                self.on_routes_unchanged(&from, (service, group), version, config);
            }
            Envelope::WatchStore { watches } => {
                let answer = self.parts.relay.handle_watches(&from, watches);
                self.parts.links.send(&from, answer.encode());
            }
            Envelope::StoreNews { age_ms, news } => {
                self.parts.relay.handle_news(&from, age_ms, news);
            }
            Envelope::StoreWatchRefused => self.parts.relay.handle_refusal(&from),
        }
    }

    /// Sends the due messages about changes in the store.
    pub(super) fn send_relay_messages(&mut self) {
        for (to, message) in self.parts.relay.take_messages() {
            self.parts.links.send(&to, message.encode());
        }
    }

    fn on_group_message(&mut self, from: Instance, payload: &[u8]) {
        let message = match wire::control::decode(payload) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(target: "control", "Ignored a malformed group message of {from}: {error}.");
                return;
            }
        };
        let now = self.now();
        self.step(now, Input::Message { from: from.clone(), message });
        let version = self.group.as_ref().map(|it| it.view.config);
        if let Some(version) = version {
            let service = self.service().clone();
            self.on_version_announced(&from, service, version);
        }
    }

    fn send_document(&self, to: &Instance, service: ServiceName) {
        let Some(in_force) = self.documents.in_force(&service) else { return };
        let version = in_force.version;
        let text = in_force.text.to_string();
        self.parts.links.send(to, Envelope::Document { service, version, text }.encode());
    }

    /// Fetches a document from the peer that announced a version of it, if this instance uses the
    /// service and the version is newer than its own.
    pub(super) fn on_version_announced(
        &mut self,
        from: &Instance,
        service: ServiceName,
        version: ConfigVersion,
    ) {
        let is_used = self.documents.in_force(&service).is_some() || service == *self.service();
        let uses_object_store = self.parts.documents_from == DocumentSource::ObjectStore;
        if uses_object_store && is_used && self.documents.should_fetch(&service, version) {
            self.parts.links.send(from, Envelope::FetchDocument { service }.encode());
        }
    }

    /// Queries the peers from the settings for a service's routes and document, in case the platform
    /// is unavailable.
    pub(super) fn query_peers(&mut self, service: &ServiceName) {
        for address in &self.parts.settings.peers {
            // Routes are queried first: the document creates the group, which needs the members that
            // the routes list.
            let routes = Envelope::FetchRoutes {
                service: service.clone(),
                group: GroupId::FIRST,
                known_version: 0,
            };
            self.parts.links.send_to_address(*address, routes.encode());
            let document = Envelope::FetchDocument { service: service.clone() };
            self.parts.links.send_to_address(*address, document.encode());
        }
    }

    /// Sends all versions to the members once per [`VERSIONS_INTERVAL`], if this instance is the
    /// coordinator.
    pub(super) fn broadcast_versions(&mut self, now: Timestamp) {
        let is_coordinator = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !is_coordinator || !self.status.take_versions_due(now, VERSIONS_INTERVAL) {
            return;
        }
        let versions: Vec<_> =
            self.documents.iter().map(|(service, it)| (service.clone(), it.version)).collect();
        self.send_versions(&versions);
    }

    /// Sends versions to all other members of the group.
    pub(super) fn send_versions(&self, versions: &[(ServiceName, ConfigVersion)]) {
        let Some(group) = &self.group else { return };
        let payload = Envelope::Versions(versions.to_vec()).encode();
        let others = group.view.members.iter().filter(|it| it.instance != self.parts.own);
        for member in others {
            self.parts.links.send(&member.instance, payload.clone());
        }
    }

    /// Handles the result of a platform call.
    pub(crate) fn on_call_result(&mut self, result: CallResult) {
        let now = self.now();
        match result {
            CallResult::Node { call, reply } => self.step(now, Input::Platform { call, reply }),
            CallResult::AcceptedRead { service, result } => self.on_accepted_read(service, result),
            CallResult::DocumentRead { result } => self.on_document_read(result),
            CallResult::AcceptedUpdated { accepted, result } => {
                self.on_accept_result(accepted, result)
            }
            CallResult::GroupRead { service, group, result } => {
                self.on_group_read((service, group), result);
            }
            CallResult::WatchEnded { prefix, result } => self.on_watch_result(prefix, result),
            CallResult::StatusRead { result } => self.on_status_read(result),
            CallResult::StatusWritten { result } => self.on_status_written(result),
        }
    }

    /// Handles a report of the traffic threads.
    pub(crate) fn on_report(&mut self, report: Report) {
        let now = self.now();
        match report {
            Report::Announcement(announcement) => self.on_announcement(announcement),
            Report::UpstreamLeaving { upstream_id, incarnation_start_ms } => {
                self.on_upstream_leaving(upstream_id.as_ref(), incarnation_start_ms);
            }
            Report::UpstreamProbed { upstream_id, incarnation_start_ms, presence } => {
                self.on_upstream_probed(upstream_id.as_ref(), incarnation_start_ms, presence);
            }
            Report::GrantOutdated { token } => self.on_grant_outdated(now, token),
            Report::Upstream(state) => self.on_gate_state(state),
            Report::Prepared { slot, token } => self.step(now, Input::Prepared { slot, token }),
            Report::Closed { slot, token } => self.step(now, Input::Closed { slot, token }),
            Report::ClosedSlots(slots) => self.step(now, Input::ClosedSlots(slots)),
            Report::PreparedSlots(slots) => self.step(now, Input::PreparedSlots(slots)),
            Report::Cleared { token } => self.step(now, Input::Cleared { token }),
            Report::KeyClosed { key_hash, token } => {
                self.step(now, Input::KeyClosed { key_hash, token });
            }
            Report::StaleRoute { service, owner, .. } => self.on_stale_route(now, &service, owner),
            Report::UnknownService { service } => self.look_up_service(now, service),
            Report::Config { service, version, from } => {
                self.on_version_announced(&from, service, version);
            }
        }
    }
}
