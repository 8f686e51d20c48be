//! Messages of other control threads, and what this one tells them.

use std::time::Duration;

use model::{ConfigVersion, Instance, ServiceName, Timestamp};
use ownership::Input;
use wire::exchange::Envelope;

use crate::{
    control::{
        calls::Done,
        state::{Control, DocumentSource, ONLY_GROUP},
    },
    links::ControlEvent,
    report::Report,
};

/// How often a coordinator repeats all versions to its members, for those that missed one.
const VERSIONS_EVERY: Duration = Duration::from_secs(2);

impl Control {
    pub(crate) fn peer_event(&mut self, event: ControlEvent) {
        let ControlEvent::Message { from, payload } = event;
        match Envelope::decode(&payload) {
            Ok(envelope) => self.envelope(from, envelope),
            Err(error) => {
                log::warn!(target: "control", "A message of {from} is malformed: {error}.")
            }
        }
    }

    fn envelope(&mut self, from: Instance, envelope: Envelope) {
        match envelope {
            Envelope::Group { service, group, payload }
                if service == *self.service() && group == ONLY_GROUP =>
            {
                self.group_message(from, &payload);
            }
            Envelope::Group { service, .. } => {
                log::debug!(target: "control", "{from} took this for a member of {service}.");
            }
            Envelope::FetchDocument { service } => self.send_document(&from, service),
            // What comes as a whole is not taken apart again.
            Envelope::Document { .. }
                if self.parts.documents_from == DocumentSource::CentralConfig => {}
            Envelope::Document { service, version, text } => {
                self.offer_document(&service, version, &text);
            }
            Envelope::Versions(versions) => {
                versions.into_iter().for_each(|(service, version)| {
                    self.version_heard(&from, service, version);
                });
            }
            Envelope::FetchRoutes { service, known } => self.send_routes(&from, &service, known),
            Envelope::Routes(table) => self.routes_heard(from, table),
            Envelope::RoutesUnchanged { service, version, config } => {
                self.routes_unchanged(&from, service, version, config);
            }
        }
    }

    fn group_message(&mut self, from: Instance, payload: &[u8]) {
        let message = match wire::control::decode(payload) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(target: "control", "A message of {from} is malformed: {error}.");
                return;
            }
        };
        let now = self.now();
        self.step(now, Input::Message { from: from.clone(), message });
        let heard = self.group.as_ref().map(|it| it.view.config);
        if let Some(version) = heard {
            let service = self.service().clone();
            self.version_heard(&from, service, version);
        }
    }

    fn send_document(&self, to: &Instance, service: ServiceName) {
        let Some(in_force) = self.documents.of(&service) else { return };
        let version = in_force.version;
        let text = in_force.text.to_string();
        self.parts.links.send(to, Envelope::Document { service, version, text }.encode());
    }

    /// A peer knows of a version: fetch it if this instance has use for the service.
    pub(super) fn version_heard(
        &mut self,
        from: &Instance,
        service: ServiceName,
        version: ConfigVersion,
    ) {
        let used = self.documents.of(&service).is_some() || service == *self.service();
        let fetched = self.parts.documents_from == DocumentSource::ObjectStore;
        if fetched && used && self.documents.wants(&service, version) {
            self.parts.links.send(from, Envelope::FetchDocument { service }.encode());
        }
    }

    /// Asks the peers of the settings, while the platform may be down.
    pub(super) fn ask_peers(&mut self, service: &ServiceName) {
        for address in &self.parts.settings.peers {
            // The routes first: with the document comes the group, and its members are to be known.
            let routes = Envelope::FetchRoutes { service: service.clone(), known: 0 };
            self.parts.links.send_to_address(*address, routes.encode());
            let document = Envelope::FetchDocument { service: service.clone() };
            self.parts.links.send_to_address(*address, document.encode());
        }
    }

    pub(super) fn spread_versions(&mut self, now: Timestamp) {
        let coordinates = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !coordinates || !self.status.versions_due(now, VERSIONS_EVERY) {
            return;
        }
        let versions: Vec<_> =
            self.documents.iter().map(|(service, it)| (service.clone(), it.version)).collect();
        self.send_to_members(&versions);
    }

    pub(super) fn send_to_members(&self, versions: &[(ServiceName, ConfigVersion)]) {
        let Some(group) = &self.group else { return };
        let payload = Envelope::Versions(versions.to_vec()).encode();
        let others = group.view.members.iter().filter(|it| it.instance != self.parts.own);
        for member in others {
            self.parts.links.send(&member.instance, payload.clone());
        }
    }

    pub(crate) fn call_done(&mut self, done: Done) {
        let now = self.now();
        match done {
            Done::Node { call, reply } => self.step(now, Input::Platform { call, reply }),
            Done::Accepted { service, result } => self.accepted_read(service, result),
            Done::Document { result } => self.document_read(result),
            Done::AcceptedUpdated { accepted, result } => self.accepted_updated(accepted, result),
            Done::Group { service, result } => self.group_read(service, result),
            Done::Watched { prefix, result } => self.watched(prefix, result),
            Done::StatusRead { result } => self.status_read(result),
            Done::StatusWritten { result } => self.status_written(result),
        }
    }

    pub(crate) fn report(&mut self, report: Report) {
        let now = self.now();
        match report {
            Report::Announcement(announcement) => self.announced(announcement),
            Report::UpstreamLeaves { upstream_id, born_ms } => {
                self.upstream_leaves(&upstream_id, born_ms);
            }
            Report::GrantOutdated { token } => self.grant_outdated(now, token),
            Report::Upstream(state) => self.seen_by_gate(state),
            Report::Prepared { slot, token } => self.step(now, Input::Prepared { slot, token }),
            Report::Closed { slot, token } => self.step(now, Input::Closed { slot, token }),
            Report::ClosedSlots(slots) => self.step(now, Input::ClosedSlots(slots)),
            Report::PreparedSlots(slots) => self.step(now, Input::PreparedSlots(slots)),
            Report::Cleared { token } => self.step(now, Input::Cleared { token }),
            Report::KeyClosed { key_hash, token } => {
                self.step(now, Input::KeyClosed { key_hash, token });
            }
            Report::StaleRoute { service, owner, .. } => self.route_is_stale(now, &service, owner),
            Report::UnknownService { service } => self.service_wanted(now, service),
            Report::Config { service, version, from } => {
                self.version_heard(&from, service, version);
            }
        }
    }
}
