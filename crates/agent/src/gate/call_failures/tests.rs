//! Tests of the record of unserved express requests.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use model::{NotRunReason, Timestamp, UnknownReason};
use upstream::Answer;

use super::{ExpressRequest, SharedUnservedRequests};
use crate::{clock::Clock, request::GateReply};

fn answer(status: StatusCode) -> GateReply {
    GateReply::Answered(Answer { status, headers: HeaderMap::new(), body: Bytes::new() })
}

/// A call that ends without success must count whatever the way, else its run looks as if it had failed by itself.
#[test]
fn only_answers_without_a_server_error_are_served() {
    let is_unserved = |end: &dyn Fn(ExpressRequest<'_>)| {
        let (clock, end_of_time) = (Clock::start(), Timestamp { ns: u64::MAX });
        let unserved = SharedUnservedRequests::new(clock);
        end(unserved.track());
        unserved.times().has_any_between(Timestamp::ZERO, end_of_time)
    };
    for status in [StatusCode::OK, StatusCode::NOT_FOUND] {
        assert!(!is_unserved(&|it| it.end(&answer(status))), "{status}");
    }
    assert!(is_unserved(&|it| it.end(&answer(StatusCode::INTERNAL_SERVER_ERROR))));
    assert!(is_unserved(&|it| it.end(&GateReply::not_run(NotRunReason::Overloaded))));
    assert!(is_unserved(&|it| it.end(&GateReply::unknown(UnknownReason::ConnectionLost))));
    assert!(is_unserved(&|it| drop(it)), "the caller left");
}
