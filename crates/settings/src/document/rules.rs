//! Rules across fields, and the conversion of a raw document into a validated one.

use std::collections::HashMap;

use model::{ClassName, NameError, OrderedKeys, ServiceName, SlotCount};

use super::{
    DrainLimits, KeyGrants, KeySource, Method, OwnershipLimits, RequestClass, Route,
    ServiceDocument, TrafficLimits, UpstreamProperties,
    raw::{RawDocument, RawMethod, RawRoute, is_health_path},
    route::PathPattern,
};
use crate::{parse::Parsed, problem::Problems, schema::hint, source::Source};

/// Header with the key for routes of keyed services that do not specify the location of the key.
const DEFAULT_KEY_HEADER: &str = "x-key";

/// Checks the rules across fields. Returns `None` only if it has reported a problem.
pub(super) fn check(
    parsed: &Parsed<RawDocument>,
    problems: &mut Problems,
) -> Option<ServiceDocument> {
    let raw = &parsed.raw;
    let mut checker = RuleChecker { source: &parsed.source, problems };
    checker.check_upstream(raw);
    checker.check_ordered_keys(raw);
    checker.check_ownership(raw);
    checker.check_times(raw);
    let service = checker.check_name("service", ServiceName::new(&raw.service));
    let team = checker.check_name("team", model::TeamName::new(&raw.team));
    let classes = checker.check_classes(raw);
    let routes = checker.check_routes(raw);
    Some(ServiceDocument {
        service: service?,
        team: team?,
        keyed: raw.keyed,
        slot_count: SlotCount::new(raw.slot_count).ok()?,
        ordered_keys: raw.ordered_keys.and_then(OrderedKeys::new),
        resends: raw.resends,
        upstream: UpstreamProperties::from(&raw.upstream),
        classes: classes?,
        routes: routes?,
        limits: TrafficLimits::from(&raw.limits),
        ownership: OwnershipLimits::from(&raw.ownership),
        drain: DrainLimits::from(&raw.drain),
    })
}

/// Checks that a document names the service that it is stored for.
pub(super) fn check_service(
    parsed: &Parsed<RawDocument>,
    service: &ServiceName,
    problems: &mut Problems,
) {
    let mut checker = RuleChecker { source: &parsed.source, problems };
    checker.require(parsed.raw.service == service.as_str(), "service", || {
        format!("must be {service}, the service that the document is stored for.")
    });
}

/// Checks that a document leaves the fixed fields of the previous one unchanged.
pub(super) fn check_change(
    parsed: &Parsed<RawDocument>,
    previous: &ServiceDocument,
    problems: &mut Problems,
) {
    check_service(parsed, &previous.service, problems);
    let raw = &parsed.raw;
    let mut checker = RuleChecker { source: &parsed.source, problems };
    checker.require(raw.keyed == previous.keyed, "keyed", || {
        format!("cannot change while the service runs; the current value is {}.", previous.keyed)
    });
    let slot_count = previous.slot_count.count();
    checker.require(raw.slot_count == slot_count, "slot_count", || {
        format!("cannot change while the service runs; the current value is {slot_count}.")
    });
    let ordered_keys = previous.ordered_keys.map(OrderedKeys::count);
    checker.require(raw.ordered_keys == ordered_keys, "ordered_keys", || match ordered_keys {
        Some(count) => {
            format!("cannot change while the service runs; the current value is {count}.")
        }
        None => "cannot be set while the service runs.".to_owned(),
    });
}

struct RuleChecker<'a> {
    source: &'a Source,
    problems: &'a mut Problems,
}

impl RuleChecker<'_> {
    fn report(&mut self, field: &str, message: impl Into<String>) {
        self.problems.push(self.source.position(field), field, message);
    }

    fn require(&mut self, is_met: bool, field: &str, message: impl FnOnce() -> String) {
        if !is_met {
            self.report(field, message());
        }
    }

    fn check_name<T>(&mut self, field: &str, name: Result<T, NameError>) -> Option<T> {
        match name {
            Ok(name) => Some(name),
            Err(error) => {
                self.report(field, format!("{error}."));
                None
            }
        }
    }

    fn check_upstream(&mut self, raw: &RawDocument) {
        let upstream = &raw.upstream;
        let has_health_path = is_health_path(&upstream.health_path);
        self.require(has_health_path, "upstream.health_path", || {
            format!(
                "{:?} is not a path: expected a slash and visible ASCII characters, 512 at most.",
                upstream.health_path
            )
        });
        self.require(
            upstream.connections_max >= upstream.slots,
            "upstream.connections_max",
            || {
                format!(
                    "{} connections are too few for {} slots: expected at least one per slot.",
                    upstream.connections_max, upstream.slots
                )
            },
        );
    }

    fn check_ordered_keys(&mut self, raw: &RawDocument) {
        let enforces_leases = raw.upstream.enforces_leases;
        let key_count = raw.ordered_keys;
        self.require(!enforces_leases || key_count.is_some(), "upstream.enforces_leases", || {
            "requires ordered_keys, since grants are ranges of keys.".to_owned()
        });
        let is_by_calls = raw.upstream.key_grants == KeyGrants::Calls;
        self.require(enforces_leases || is_by_calls, "upstream.key_grants", || {
            "requires enforces_leases, since the upstream receives no grants without it.".to_owned()
        });
        self.require(key_count.is_none() || raw.keyed, "ordered_keys", || {
            "can only be set if keyed is true.".to_owned()
        });
        let has_enough_keys = key_count.is_none_or(|it| it >= u32::from(raw.slot_count));
        self.require(has_enough_keys, "ordered_keys", || {
            format!("must be at least slot_count, {}.", raw.slot_count)
        });
    }

    fn check_ownership(&mut self, raw: &RawDocument) {
        let it = &raw.ownership;
        let lease_ms = it.lease_ms;
        self.require(it.renew_every_ms * 2 < lease_ms, "ownership.renew_every_ms", || {
            format!(
                "must be less than {} ms, half of lease_ms, so that two renewals fit into a lease.",
                lease_ms / 2
            )
        });
        self.require(it.drift_margin_ms < it.renew_every_ms, "ownership.drift_margin_ms", || {
            format!("must be less than renew_every_ms, {} ms.", it.renew_every_ms)
        });
        self.require(it.confirmation_ms < lease_ms, "ownership.confirmation_ms", || {
            format!("must be less than lease_ms, {lease_ms} ms.")
        });
        self.require(
            it.platform_confirmation_ms >= it.confirmation_ms,
            "ownership.platform_confirmation_ms",
            || format!("must be at least confirmation_ms, {} ms.", it.confirmation_ms),
        );
        self.require(it.pause_max_ms < lease_ms, "ownership.pause_max_ms", || {
            format!("must be less than lease_ms, {lease_ms} ms.")
        });
        self.require(
            it.takeover_after_ms > it.renew_every_ms,
            "ownership.takeover_after_ms",
            || format!("must be more than renew_every_ms, {} ms.", it.renew_every_ms),
        );
        self.require(
            it.platform_absence_max_s * 1_000 > 2 * lease_ms,
            "ownership.platform_absence_max_s",
            || format!("must be more than two leases of {lease_ms} ms."),
        );
    }

    fn check_times(&mut self, raw: &RawDocument) {
        let longest_deadline =
            |routes: &mut dyn Iterator<Item = &RawRoute>| routes.map(|it| it.deadline_ms).max();
        let deadline_ms = longest_deadline(&mut raw.routes.iter()).unwrap_or(0);
        self.require(raw.limits.queue_ms_max <= deadline_ms, "limits.queue_ms_max", || {
            format!("must not exceed the longest deadline of a route, {deadline_ms} ms.")
        });
        self.require(raw.drain.in_flight_ms_max >= deadline_ms, "drain.in_flight_ms_max", || {
            format!("must be at least the longest deadline of a route, {deadline_ms} ms, so that requests in flight can finish.")
        });
        let non_idempotent_ms =
            longest_deadline(&mut raw.routes.iter().filter(|it| !it.idempotent)).unwrap_or(0);
        self.require(raw.limits.records_ms >= 2 * non_idempotent_ms, "limits.records_ms", || {
            format!("must be at least twice the longest deadline of a non-idempotent route, {non_idempotent_ms} ms.")
        });
    }

    fn check_classes(&mut self, raw: &RawDocument) -> Option<Vec<RequestClass>> {
        let mut index_by_name = HashMap::new();
        let mut classes = Vec::new();
        for (index, class) in raw.classes.iter().enumerate() {
            let field = format!("classes[{index}].name");
            if let Some(first) = index_by_name.insert(&class.name, index) {
                self.report(&field, format!("duplicate name: already used by classes[{first}]."));
            }
            let name = self.check_name(&field, ClassName::new(&class.name));
            let queues_past_objective = class.queues_past_objective;
            classes.push(name.map(|name| RequestClass {
                name,
                weight: class.weight,
                queues_past_objective,
            }));
        }
        classes.into_iter().collect()
    }

    fn check_routes(&mut self, raw: &RawDocument) -> Option<Vec<Route>> {
        let mut routes: Vec<Option<Route>> = Vec::new();
        for (index, route) in raw.routes.iter().enumerate() {
            let field = format!("routes[{index}]");
            let checked = self.check_route(raw, route, &field);
            if let Some(checked) = &checked {
                self.check_reachable(&routes, checked, &field);
            }
            routes.push(checked);
        }
        routes.into_iter().collect()
    }

    fn check_route(&mut self, raw: &RawDocument, route: &RawRoute, field: &str) -> Option<Route> {
        let path = match PathPattern::parse(&route.path) {
            Ok(path) => Some(path),
            Err(message) => {
                self.report(&format!("{field}.path"), message);
                None
            }
        };
        let class = self.check_class(raw, route, &format!("{field}.class"));
        let key = self.check_key(raw, route, path.as_ref(), &format!("{field}.key"));
        Some(Route {
            method: route.method.map(Method::from),
            path: path?,
            key: key?,
            class: class?,
            idempotent: route.idempotent,
            deadline: std::time::Duration::from_millis(route.deadline_ms),
        })
    }

    /// Reports a route whose requests all match an earlier route.
    fn check_reachable(&mut self, earlier: &[Option<Route>], route: &Route, field: &str) {
        let covers_route = |it: &Option<Route>| {
            it.as_ref().is_some_and(|it| {
                (it.method.is_none() || it.method == route.method) && it.path.covers(&route.path)
            })
        };
        if let Some(first) = earlier.iter().position(covers_route) {
            let message = format!(
                "unreachable: routes[{first}] matches all requests that this route matches."
            );
            self.report(field, message);
        }
    }

    fn check_class(
        &mut self,
        raw: &RawDocument,
        route: &RawRoute,
        field: &str,
    ) -> Option<ClassName> {
        let mut class_names = raw.classes.iter().map(|it| it.name.as_str());
        if class_names.clone().any(|it| it == route.class) {
            return ClassName::new(&route.class).ok();
        }
        let hint = hint(&route.class, &mut class_names);
        self.report(field, format!("{:?} is not defined in classes{hint}", route.class));
        None
    }

    /// Returns the location of the key, or `Some(None)` if the service is not keyed. Reports a
    /// problem and returns `None` if the location is invalid.
    fn check_key(
        &mut self,
        raw: &RawDocument,
        route: &RawRoute,
        path: Option<&PathPattern>,
        field: &str,
    ) -> Option<Option<KeySource>> {
        let Some(key) = &route.key else {
            return Some(raw.keyed.then(|| KeySource::Header(DEFAULT_KEY_HEADER.to_owned())));
        };
        match (&key.header, &key.segment) {
            _ if !raw.keyed => {
                self.report(field, "can only be set if keyed is true.");
                None
            }
            (Some(name), None) => self.check_header(name, &format!("{field}.header")),
            (None, Some(name)) => self.check_segment(name, path?, &format!("{field}.segment")),
            _ => {
                self.report(field, "expected exactly one of header and segment.");
                None
            }
        }
        .map(Some)
    }

    fn check_header(&mut self, header: &str, field: &str) -> Option<KeySource> {
        let is_allowed = |it: char| it.is_ascii_alphanumeric() || it == '-' || it == '_';
        if header.is_empty() || !header.chars().all(is_allowed) {
            self.report(
                field,
                format!(
                    "{header:?} is not a valid header name: expected letters, digits, '-' and '_'."
                ),
            );
            return None;
        }
        Some(KeySource::Header(header.to_ascii_lowercase()))
    }

    fn check_segment(&mut self, name: &str, path: &PathPattern, field: &str) -> Option<KeySource> {
        let index = path.segment_index(name);
        if index.is_none() {
            let hint = hint(name, path.segment_names());
            self.report(field, format!("the path has no segment {{{name}}}{hint}"));
        }
        index.map(KeySource::Segment)
    }
}

impl From<RawMethod> for Method {
    fn from(method: RawMethod) -> Method {
        match method {
            RawMethod::Get => Method::Get,
            RawMethod::Head => Method::Head,
            RawMethod::Post => Method::Post,
            RawMethod::Put => Method::Put,
            RawMethod::Patch => Method::Patch,
            RawMethod::Delete => Method::Delete,
        }
    }
}
