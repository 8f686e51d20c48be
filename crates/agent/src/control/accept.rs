//! Acceptance: from the document that a team wrote to the one that is in force.
//!
//! `accepted/S` only rises, by conditional updates. The coordinator does it; the very first time,
//! when there is no group yet, any agent of the service may, and the condition lets one succeed.

use std::time::Duration;

use model::{ConfigVersion, ObjectVersion, ServiceName, Timestamp};
use object_store::StoreError;
use rand::RngExt;
use settings::{Accepted, Judgement, Refused, judge};

use crate::control::{documents::RaiseOutcome, state::Control};

/// How often the document is looked for while none is in force.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the coordinator reads the document even if its watch says nothing.
const READ_INTERVAL: Duration = Duration::from_secs(15);

/// What is known of the own service's document and its acceptance.
#[derive(Debug, Default)]
pub(crate) struct Acceptor {
    /// `accepted/S` as last read; none: not read yet, or in doubt after a lost answer.
    accepted: Option<AcceptedState>,
    /// The document as last read, until it has been dealt with.
    pending_document: Option<(ObjectVersion, String)>,
    /// An update is on its way.
    updating: bool,
    looked_up_at: Option<Timestamp>,
    read_at: Option<Timestamp>,
    pub(crate) refused: Option<Refused>,
}

#[derive(Debug, Clone)]
struct AcceptedState {
    /// 0: it does not exist.
    object: ObjectVersion,
    accepted: Option<Accepted>,
}

impl Control {
    /// While no document is in force: look in the platform, and ask the peers.
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

    /// The coordinator's part: deal with what was read, and read once in a while.
    pub(super) fn reread_accepted(&mut self, now: Timestamp) {
        let coordinates = self.group.as_ref().is_some_and(|it| it.view.is_coordinator);
        if !coordinates {
            return;
        }
        if self.acceptor.read_at.is_none_or(|it| now.since(it) >= READ_INTERVAL) {
            self.acceptor.read_at = Some(now);
            self.acceptor.accepted = None;
            self.parts.calls.read_accepted(&self.service().clone());
        }
    }

    pub(super) fn on_accepted_read(
        &mut self,
        service: ServiceName,
        result: Result<Option<(ObjectVersion, Accepted)>, StoreError>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                log::debug!(target: "config", "{error}.");
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
        let object = read.as_ref().map_or(ObjectVersion(0), |(version, _)| *version);
        self.acceptor.accepted = Some(AcceptedState { object, accepted: read.map(|(_, it)| it) });
        self.parts.calls.read_document(&service);
    }

    pub(super) fn on_document_read(
        &mut self,
        result: Result<Option<(ObjectVersion, String)>, StoreError>,
    ) {
        match result {
            Ok(Some(read)) => self.acceptor.pending_document = Some(read),
            Ok(None) => log::warn!(target: "config", "There is no document of {}.", self.service()),
            Err(error) => log::debug!(target: "config", "{error}."),
        }
        self.raise_accepted();
    }

    /// Raises `accepted/S` to the pending document if that holds and is newer.
    pub(super) fn raise_accepted(&mut self) {
        if self.acceptor.updating {
            return;
        }
        let Some(state) = self.acceptor.accepted.clone() else { return };
        let Some((version, text)) = self.acceptor.pending_document.take() else { return };
        let service = self.service().clone();
        let accepted = match judge(&service, state.accepted.as_ref(), version, text.as_bytes()) {
            Judgement::Keep => {
                // What was refused has been overtaken.
                self.acceptor.refused.take_if(|it| it.version <= self.documents.version(&service));
                return;
            }
            Judgement::Refuse(refused) => {
                let reasons = refused.reasons.join("; ");
                if self.acceptor.refused.as_ref() != Some(&refused) {
                    log::warn!(target: "config", "Refused version {version} of {service}: {reasons}");
                    self.acceptor.refused = Some(refused);
                }
                return;
            }
            Judgement::Raise(accepted) => accepted,
        };
        self.acceptor.refused = None;
        self.acceptor.updating = true;
        self.parts.calls.update_accepted(state.object, accepted);
    }

    pub(super) fn on_accept_result(
        &mut self,
        accepted: Accepted,
        result: Result<ObjectVersion, StoreError>,
    ) {
        self.acceptor.updating = false;
        match result {
            Ok(object) => {
                log::info!(target: "config", "Accepted version {} of {}.", accepted.version, accepted.service);
                self.apply_document(&accepted.service, accepted.version, &accepted.document);
                self.acceptor.accepted = Some(AcceptedState { object, accepted: Some(accepted) });
                self.raise_accepted();
            }
            Err(error) => {
                // Whether it took effect is settled by reading.
                log::info!(target: "config", "{error}; reading again.");
                self.acceptor.accepted = None;
                self.parts.calls.read_accepted(&accepted.service);
            }
        }
    }

    /// Puts a document in force if it is newer, whoever it came from.
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
                self.dirty = true;
                self.foreign.mark_due(service);
            }
        }
    }
}
