//! The platform's two objects of one group, with conditional updates.

use model::ObjectVersion;

use crate::{Coordinator, Plan, PlatformReply, PlatformRequest};

/// The stored objects; versions come from one counter.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    coordinator: Option<(ObjectVersion, Coordinator)>,
    plan: Option<(ObjectVersion, Box<Plan>)>,
    /// Calls that arrived.
    pub(super) calls: u64,
}

impl Store {
    pub(super) fn call(&mut self, request: &PlatformRequest) -> PlatformReply {
        self.calls += 1;
        match request {
            PlatformRequest::ReadCoordinator => {
                PlatformReply::Coordinator(self.coordinator.clone())
            }
            PlatformRequest::ReadPlan => PlatformReply::Plan(self.plan.clone()),
            PlatformRequest::UpdateCoordinator { expected, object } => {
                let current = self.coordinator.as_ref().map(|it| it.0).unwrap_or_default();
                if current != *expected {
                    return PlatformReply::Conflict;
                }
                let former = self.coordinator.as_ref().map(|it| it.1.term).unwrap_or_default();
                assert!(object.term >= former, "term {} after {former}", object.term);
                self.revision += 1;
                let version = ObjectVersion(self.revision);
                self.coordinator = Some((version, object.clone()));
                PlatformReply::Updated(version)
            }
            PlatformRequest::UpdatePlan { expected, object } => {
                let current = self.plan.as_ref().map(|it| it.0).unwrap_or_default();
                if current != *expected {
                    return PlatformReply::Conflict;
                }
                let former = self.plan.as_ref().map_or(0, |it| it.1.version);
                assert!(object.version > former, "plan {} after {former}", object.version);
                self.revision += 1;
                let version = ObjectVersion(self.revision);
                self.plan = Some((version, object.clone()));
                PlatformReply::Updated(version)
            }
        }
    }

    pub(super) fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator.as_ref().map(|it| &it.1)
    }
}
