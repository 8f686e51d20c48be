//! Asynchronous calls to the platform's object store. Each call runs as a task, whose result is
//! sent to the control thread as a [`CallResult`].

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use model::{GroupId, ObjectVersion, ServiceName};
use object_store::{Changes, Object, ObjectStore, StoreError, watch_with_check};
use ownership::{CallId, Coordinator, Plan, PlatformReply, PlatformRequest};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use settings::{AcceptedDocument, GroupStatus, accepted_path, service_path, status_path};
use tokio::sync::mpsc;

/// How long the platform holds a watch without changes before it answers.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(10);

/// The result of a platform call.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The reply to a call that the group's node requested.
    Node {
        call: CallId,
        reply: PlatformReply,
    },
    AcceptedRead {
        service: ServiceName,
        result: Result<Option<(ObjectVersion, AcceptedDocument)>, StoreError>,
    },
    DocumentRead {
        result: Result<Option<(ObjectVersion, String)>, StoreError>,
    },
    /// The result of an update of `accepted/S` to `accepted`: the object's new version.
    AcceptedUpdated {
        accepted: AcceptedDocument,
        result: Result<ObjectVersion, StoreError>,
    },
    /// The stored state of a group that this instance is not a member of.
    GroupRead {
        service: ServiceName,
        group: GroupId,
        result: Result<StoredGroup, StoreError>,
    },
    /// The changes that a watch or a list returned.
    WatchEnded {
        prefix: WatchPrefix,
        result: Result<Changes, StoreError>,
    },
    StatusRead {
        result: Result<Option<ObjectVersion>, StoreError>,
    },
    StatusWritten {
        result: Result<ObjectVersion, StoreError>,
    },
}

/// The state of a group that is stored in the platform. A service that is not sharded by key has
/// no plan.
#[derive(Debug, Default)]
pub(crate) struct StoredGroup {
    pub(crate) coordinator: Option<Coordinator>,
    pub(crate) plan: Option<Plan>,
}

/// The consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Consistency {
    Latest,
    /// The object may be seconds old; the read costs less.
    Stale,
}

/// The objects that a coordinator watches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WatchPrefix {
    /// The document of the own service.
    Document(ServiceName),
    /// All accepted documents.
    Accepted,
}

impl WatchPrefix {
    fn path(&self) -> String {
        match self {
            WatchPrefix::Document(service) => service_path(service),
            WatchPrefix::Accepted => ACCEPTED_PREFIX.to_owned(),
        }
    }
}

/// The common path prefix of all accepted documents.
pub(crate) const ACCEPTED_PREFIX: &str = "accepted/";

/// Number of objects that count the rounds of a group. The counter of an era replaces one of an earlier era, which is so
/// much older that no update conditional on it is in flight.
const COUNTERS_MAX: u64 = 16;

/// The last round of a term that was drawn in an era of the platform.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LastRound {
    era: u64,
    round: u32,
}

/// Starts calls to the platform on the runtime of the control thread.
#[derive(Clone)]
pub(crate) struct PlatformCalls {
    platform: Arc<dyn ObjectStore>,
    results: mpsc::UnboundedSender<CallResult>,
}

impl PlatformCalls {
    pub(crate) fn new(
        platform: Arc<dyn ObjectStore>,
        results: mpsc::UnboundedSender<CallResult>,
    ) -> PlatformCalls {
        PlatformCalls { platform, results }
    }

    /// Returns the number of rollbacks of the platform that its answers have shown.
    pub(crate) fn era(&self) -> u64 {
        self.platform.era()
    }

    /// Starts a call that the group's node requested.
    pub(crate) fn start_node_call(
        &self,
        service: &ServiceName,
        group: GroupId,
        call: CallId,
        request: PlatformRequest,
    ) {
        let coordinator = coordinator_path(service, group);
        let plan = plan_path(service, group);
        let rounds = rounds_path(service, group);
        self.spawn(move |platform| async move {
            let platform = platform.as_ref();
            let reply = match request {
                PlatformRequest::ReadCoordinator => {
                    let read = read_json::<Coordinator>(platform, &coordinator).await;
                    read.map(|it| {
                        let (version, object) = version_and_object(platform, it);
                        PlatformReply::Coordinator(version, object)
                    })
                }
                PlatformRequest::ReadPlan => {
                    let read = read_json::<Plan>(platform, &plan).await;
                    read.map(|it| {
                        let (version, object) = version_and_object(platform, it);
                        PlatformReply::Plan(version, object.map(Box::new))
                    })
                }
                PlatformRequest::UpdateCoordinator { expected, object } => {
                    let body = to_json(&object);
                    let updated = platform.update(&coordinator, expected, body).await;
                    updated.map(|it| reply_for_update(expected, it))
                }
                PlatformRequest::UpdatePlan { expected, object } => {
                    let updated = platform.update(&plan, expected, to_json(&object)).await;
                    updated.map(|it| reply_for_update(expected, it))
                }
                PlatformRequest::DrawRound { era, above } => {
                    draw_round(platform, &format!("{rounds}/{}", era % COUNTERS_MAX), era, above)
                        .await
                        .map(PlatformReply::RoundDrawn)
                }
            };
            CallResult::Node { call, reply: reply.unwrap_or_else(reply_for_error) }
        });
    }

    pub(crate) fn read_accepted(&self, service: &ServiceName) {
        let service = service.clone();
        self.spawn(|platform| async move {
            let result = read_json(platform.as_ref(), &accepted_path(&service)).await;
            CallResult::AcceptedRead { service, result }
        });
    }

    pub(crate) fn read_document(&self, service: &ServiceName) {
        let service = service.clone();
        self.spawn(|platform| async move {
            let result = platform.read(&service_path(&service)).await;
            let result = result.map(|object| object.map(|it| (it.version, body_text(&it))));
            CallResult::DocumentRead { result }
        });
    }

    pub(crate) fn update_accepted(&self, expected: ObjectVersion, accepted: AcceptedDocument) {
        self.spawn(move |platform| async move {
            let path = accepted_path(&accepted.service);
            let result = platform.update(&path, expected, to_json(&accepted)).await;
            CallResult::AcceptedUpdated { accepted, result }
        });
    }

    /// Reads the stored state of a group that this instance is not a member of, for its routes.
    pub(crate) fn read_group(
        &self,
        service: &ServiceName,
        group: GroupId,
        consistency: Consistency,
    ) {
        let service = service.clone();
        self.spawn(move |platform| async move {
            let result = read_group(platform.as_ref(), &service, group, consistency).await;
            CallResult::GroupRead { service, group, result }
        });
    }

    /// Waits for changes under a prefix since the revision `after`.
    pub(crate) fn watch(&self, prefix: WatchPrefix, after: ObjectVersion) {
        self.spawn(move |platform| async move {
            let path = prefix.path();
            let result = watch_with_check(platform.as_ref(), &path, after, WATCH_WAIT).await;
            CallResult::WatchEnded { prefix, result }
        });
    }

    /// Lists all objects under a prefix; the next watch continues from the list's revision.
    pub(crate) fn list(&self, prefix: WatchPrefix) {
        self.spawn(move |platform| async move {
            let result = platform.list(&prefix.path()).await;
            CallResult::WatchEnded { prefix, result }
        });
    }

    pub(crate) fn read_status(&self, service: &ServiceName, group: GroupId) {
        let path = status_path(service, group);
        self.spawn(move |platform| async move {
            let read = platform.read(&path).await;
            CallResult::StatusRead { result: read.map(|object| object.map(|it| it.version)) }
        });
    }

    pub(crate) fn write_status(&self, expected: ObjectVersion, status: &GroupStatus) {
        let path = status_path(&status.service, status.group);
        let body = to_json(status);
        self.spawn(move |platform| async move {
            CallResult::StatusWritten { result: platform.update(&path, expected, body).await }
        });
    }

    fn spawn<F>(&self, call: impl FnOnce(Arc<dyn ObjectStore>) -> F)
    where
        F: Future<Output = CallResult> + Send + 'static,
    {
        let call = call(Arc::clone(&self.platform));
        let results = self.results.clone();
        tokio::spawn(async move {
            // The receiver is closed if the control thread has ended.
            _ = results.send(call.await);
        });
    }
}

/// Splits a read into version and object. An absent object has revision 0 of the current era.
fn version_and_object<T>(
    platform: &dyn ObjectStore,
    read: Option<(ObjectVersion, T)>,
) -> (ObjectVersion, Option<T>) {
    match read {
        Some((version, object)) => (version, Some(object)),
        None => (ObjectVersion::of(platform.era(), 0), None),
    }
}

fn coordinator_path(service: &ServiceName, group: GroupId) -> String {
    format!("coordinators/{service}/{group}")
}

fn plan_path(service: &ServiceName, group: GroupId) -> String {
    format!("plans/{service}/{group}")
}

/// Path prefix of the objects that count the rounds of terms, one for each of the last eras.
fn rounds_path(service: &ServiceName, group: GroupId) -> String {
    format!("rounds/{service}/{group}")
}

/// Confirms an update only if no rollback has come between it and the read of the version that it expected. Otherwise
/// the state that it replaced is unknown.
fn reply_for_update(expected: ObjectVersion, updated: ObjectVersion) -> PlatformReply {
    match updated.era() == expected.era() {
        true => PlatformReply::Updated(updated),
        false => PlatformReply::Failed,
    }
}

fn reply_for_error(error: StoreError) -> PlatformReply {
    match error {
        StoreError::Conflict { .. } => PlatformReply::Conflict,
        StoreError::Refused { .. }
        | StoreError::HistoryGone { .. }
        | StoreError::Unavailable { .. } => {
            log::debug!(target: "platform", "A platform call of the group's node failed: {error}.");
            PlatformReply::Failed
        }
    }
}

fn to_json(value: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("platform objects serialize to JSON"))
}

fn body_text(object: &Object) -> String {
    String::from_utf8_lossy(&object.body).into_owned()
}

/// Draws a round above `above` and above all rounds that the counter at `path` has given out in this era.
async fn draw_round(
    platform: &dyn ObjectStore,
    path: &str,
    era: u64,
    above: u32,
) -> Result<u32, StoreError> {
    let (expected, last) =
        version_and_object(platform, read_json::<LastRound>(platform, path).await?);
    let rolled_back =
        |current| StoreError::Conflict { step: format!("drawing a round from {path}"), current };
    if expected.era() != era {
        return Err(rolled_back(expected));
    }
    let last = last.filter(|it| it.era == era).map_or(0, |it| it.round);
    let Some(round) = last.max(above).checked_add(1) else {
        log::error!(target: "platform", "No round is left above {above} for the next term; {path} counts them.");
        return Err(rolled_back(expected));
    };
    let updated = platform.update(path, expected, to_json(&LastRound { era, round })).await?;
    match updated.era() == era {
        true => Ok(round),
        false => Err(rolled_back(updated)),
    }
}

async fn read_group(
    platform: &dyn ObjectStore,
    service: &ServiceName,
    group: GroupId,
    consistency: Consistency,
) -> Result<StoredGroup, StoreError> {
    let coordinator =
        read_json_with(platform, &coordinator_path(service, group), consistency).await?;
    let plan = read_json_with(platform, &plan_path(service, group), consistency).await?;
    Ok(StoredGroup { coordinator: coordinator.map(|(_, it)| it), plan: plan.map(|(_, it)| it) })
}

/// Reads the latest state of a JSON object. An object that cannot be parsed is an error.
async fn read_json<T: DeserializeOwned>(
    platform: &dyn ObjectStore,
    path: &str,
) -> Result<Option<(ObjectVersion, T)>, StoreError> {
    read_json_with(platform, path, Consistency::Latest).await
}

/// Reads a JSON object with the given consistency.
async fn read_json_with<T: DeserializeOwned>(
    platform: &dyn ObjectStore,
    path: &str,
    consistency: Consistency,
) -> Result<Option<(ObjectVersion, T)>, StoreError> {
    let read = match consistency {
        Consistency::Latest => platform.read(path),
        Consistency::Stale => platform.read_maybe_stale(path),
    };
    let Some(object) = read.await? else { return Ok(None) };
    match serde_json::from_slice(&object.body) {
        Ok(value) => Ok(Some((object.version, value))),
        Err(error) => {
            log::error!(target: "platform", "Cannot parse the object {path} as JSON of the expected type: {error}.");
            Err(StoreError::Refused {
                step: format!("reading {path}"),
                peer: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
                reason: error.to_string(),
            })
        }
    }
}
