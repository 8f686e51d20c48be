//! Acceptance of service documents: checks the document that a team wrote and stores it in
//! `accepted/S`, from where all agents put it in force.
//!
//! The version in `accepted/S` only increases, by conditional updates. The group's coordinator
//! writes them. While there is no group, any agent of the service may write the first one, and the
//! condition lets only one update succeed.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName, Timestamp};
use object_store::StoreError;
use rand::RngExt;
use settings::{AcceptedDocument, DocumentDecision, RefusedDocument, decide_document};

use crate::control::{documents::RaiseOutcome, state::Control};

/// The interval between two lookups of the document while none is in force, before jitter.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the coordinator rereads the document even if its watch reports no change.
const READ_INTERVAL: Duration = Duration::from_secs(15);

/// The state of the acceptance of the own service's document.
#[derive(Debug, Default)]
pub(crate) struct Acceptor {
    /// `accepted/S` as last read or written; `None` until it is read, and after a failed update.
    accepted: Option<AcceptedState>,
    /// The document as last read, until it has been judged.
    pending_document: Option<(ObjectVersion, String)>,
    /// Whether an update of `accepted/S` is in flight.
    is_updating: bool,
    looked_up_at: Option<Timestamp>,
    read_at: Option<Timestamp>,
    /// The last refused version, until it is superseded.
    pub(crate) refused: Option<RefusedDocument>,
}

/// The stored object `accepted/S`.
#[derive(Debug, Clone)]
struct AcceptedState {
    /// The object's version, or 0 if the object does not exist.
    object_version: ObjectVersion,
    accepted: Option<AcceptedDocument>,
}

impl Control {
    /// Looks up the own service's document in the platform and at the configured peers until one is
    /// in force and the group's node has started.
    pub(super) fn look_up_document(&mut self, now: Timestamp) {
        let due = self.acceptor.looked_up_at.is_none_or(|it| now.since(it) >= LOOKUP_INTERVAL);
        if self.group.is_some() || !due {
            return;
        }
        let jitter = self.rng.random_range(0..LOOKUP_INTERVAL.as_millis() as u64 / 4);
        self.acceptor.looked_up_at = Some(now + Duration::from_millis(jitter));
        let service = self.service().clone();
        self.parts.calls.read_accepted(&service);
        self.query_peers(&service);
    }

    /// Rereads `accepted/S` and the document once per [`READ_INTERVAL`] if this instance is the
    /// coordinator.
    pub(super) fn reread_accepted(&mut self, now: Timestamp) {
        let is_coordinator = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !is_coordinator {
            return;
        }
        if self.acceptor.read_at.is_none_or(|it| now.since(it) >= READ_INTERVAL) {
            self.acceptor.read_at = Some(now);
            self.acceptor.accepted = None;
            self.parts.calls.read_accepted(&self.service().clone());
        }
    }

    /// Handles a read of `accepted/S`: puts its document in force. For the own service, the document
    /// is read next.
    pub(super) fn on_accepted_read(
        &mut self,
        service: ServiceName,
        result: Result<Option<(ObjectVersion, AcceptedDocument)>, StoreError>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                log::debug!(target: "config", "Cannot read an accepted document: {error}.");
                return;
            }
        };
        match &read {
            Some((_, accepted)) => {
                self.apply_document(&service, accepted.version, &accepted.document);
            }
            None if self.documents.in_force(&service).is_none() => {
                let now = self.now();
                self.foreign.mark_absent(now, &service);
            }
            None => {}
        }
        if service != *self.service() {
            return;
        }
        let object_version = read.as_ref().map_or(ObjectVersion(0), |(version, _)| *version);
        self.acceptor.accepted =
            Some(AcceptedState { object_version, accepted: read.map(|(_, it)| it) });
        self.parts.calls.read_document(&service);
    }

    /// Handles a read of the own service's document and judges it.
    pub(super) fn on_document_read(
        &mut self,
        result: Result<Option<(ObjectVersion, String)>, StoreError>,
    ) {
        match result {
            Ok(Some(read)) => self.acceptor.pending_document = Some(read),
            Ok(None) => {
                log::warn!(target: "config", "The platform has no document of {}.", self.service())
            }
            Err(error) => log::debug!(target: "config", "Cannot read the document: {error}."),
        }
        self.raise_accepted();
    }

    /// Judges the pending document and updates `accepted/S` if it is valid and newer.
    pub(super) fn raise_accepted(&mut self) {
        if self.acceptor.is_updating {
            return;
        }
        let Some(state) = self.acceptor.accepted.clone() else { return };
        let Some((version, text)) = self.acceptor.pending_document.take() else { return };
        let service = self.service().clone();
        let accepted = match decide_document(
            &service,
            state.accepted.as_ref(),
            version,
            text.as_bytes(),
        ) {
            DocumentDecision::Keep => {
                // The refused version is superseded by an equal or later one in force.
                self.acceptor.refused.take_if(|it| it.version <= self.documents.version(&service));
                return;
            }
            DocumentDecision::Refuse(refused) => {
                let reasons = refused.reasons.join("; ");
                if self.acceptor.refused.as_ref() != Some(&refused) {
                    log::warn!(target: "config", "Refused version {version} of {service}: {reasons}");
                    self.acceptor.refused = Some(refused);
                }
                return;
            }
            DocumentDecision::Raise(accepted) => accepted,
        };
        self.acceptor.refused = None;
        self.acceptor.is_updating = true;
        self.parts.calls.update_accepted(state.object_version, accepted);
    }

    /// Handles the result of an update of `accepted/S`.
    pub(super) fn on_accept_result(
        &mut self,
        accepted: AcceptedDocument,
        result: Result<ObjectVersion, StoreError>,
    ) {
        self.acceptor.is_updating = false;
        match result {
            Ok(object_version) => {
                log::info!(target: "config", "Accepted version {} of {}.", accepted.version, accepted.service);
                self.apply_document(&accepted.service, accepted.version, &accepted.document);
                self.acceptor.accepted =
                    Some(AcceptedState { object_version, accepted: Some(accepted) });
                self.raise_accepted();
            }
            Err(error) => {
                // The update may have taken effect although its answer was lost.
                log::info!(target: "config", "Updating the accepted document failed: {error}; reading it again.");
                self.acceptor.accepted = None;
                self.parts.calls.read_accepted(&accepted.service);
            }
        }
    }

    /// Puts an accepted document in force if it is newer than the current one, whatever its source.
    pub(super) fn apply_document(
        &mut self,
        service: &ServiceName,
        version: ConfigVersion,
        text: &str,
    ) {
        match self.documents.raise(service, version, text) {
            RaiseOutcome::Unchanged | RaiseOutcome::Invalid => {}
            RaiseOutcome::Raised if *service == *self.service() => self.on_own_document_changed(),
            RaiseOutcome::Raised => {
                self.is_dirty = true;
                self.foreign.mark_due(service);
            }
        }
    }
}
