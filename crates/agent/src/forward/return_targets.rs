//! The instances that gave refused callers a time to return.
//!
//! A promise is known to the gate that made it only. The return to a service that is not sharded by key is sent there
//! first, and an early one to no other gate, at which it would be taken for a new request.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use model::{Instance, NotRunReason, Outcome, Timestamp};
use traffic::{GivenTime, GivenTimes, Return, Sending};

use super::selector::has_designated_member;
use crate::{
    request::{GateReply, GateRequest},
    snapshot::{Routes, ServiceRoutes},
};

/// A time without a promise is a third of the time left, counted at the gate.
const UNPROMISED_DIVISOR: u32 = 3;
/// How much shorter a time without a promise may be than a third of the time left here: the link subtracts a margin
/// of some milliseconds from the time left, and the reply states whole milliseconds. A promise so close to the third is
/// not recognized, so that its return goes where the load indicates.
const UNPROMISED_TOLERANCE: Duration = Duration::from_millis(4);

/// The times given to callers of this agent, with the instances that gave them.
#[derive(Debug, Default)]
pub(super) struct ReturnTargets(Mutex<GivenTimes<Instance>>);

impl ReturnTargets {
    /// Remembers a time that was given to a caller.
    pub(super) fn add(&self, now: Timestamp, given: GivenTime<Instance>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).add(now, given);
    }

    /// Returns the time that the caller of a request was given, if it is to return to the instance that gave it.
    pub(super) fn take(&self, now: Timestamp, sending: Sending) -> Option<Return<Instance>> {
        let found = self.0.lock().unwrap_or_else(PoisonError::into_inner).take(now, sending);
        found.filter(|it| it.is_early || it.given.is_promised)
    }
}

/// Returns whether a gate may promise a return to this request. A request that only its designated member may run has
/// another one when it returns, under a new id. An express request is made by a run, which fails when it is refused.
pub(super) fn allows_promise(routes: &ServiceRoutes, request: &GateRequest) -> bool {
    let may_return = !has_designated_member(routes, request) && !request.is_express;
    routes.document.limits.promises_returns && may_return
}

/// Returns the time that the reply of a gate gives to the caller, if its return has to find that gate again.
pub(super) fn given_time(
    now: Timestamp,
    routes: &ServiceRoutes,
    request: &GateRequest,
    sending: Sending,
    sent_to: Option<&Instance>,
    reply: &GateReply,
) -> Option<GivenTime<Instance>> {
    let Routes::Any(_) = &routes.routes else { return None };
    match (reply, sent_to) {
        (
            GateReply::Failed {
                outcome: Outcome::NotRun(NotRunReason::Overloaded),
                retry_after: Some(after),
            },
            Some(instance),
        ) if request.wants_return => {
            let Sending { fingerprint, deadline, .. } = sending;
            let is_promised =
                *after + UNPROMISED_TOLERANCE < deadline.since(now) / UNPROMISED_DIVISOR;
            let value = instance.clone();
            let (given_at, at) = (now, now + *after);
            Some(GivenTime { fingerprint, deadline, given_at, at, is_promised, value })
        }
        _ => None,
    }
}
