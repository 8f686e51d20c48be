//! Routes of foreign services: services that this instance forwards requests to without being a
//! member of their group.
//!
//! Routes are fetched on the first request of a caller and refreshed from one member, which is
//! replaced by another one after a while, or at once if it does not answer. Members of the own
//! availability zone are preferred. The platform is only read while no member answers, and the
//! coordinator is not preferred over other members. A stale route costs one redirect.
//!
//! A service that is not sharded by key has several groups if it has more instances than one group may
//! have members. The routes of each group are fetched separately, including those of the own service's
//! groups that this instance is not a member of.

use std::{collections::BTreeMap, time::Duration};

use model::{ConfigVersion, GroupId, Instance, ServiceName, Timestamp, Zone};
use object_store::StoreError;
use ownership::{Plan, UpstreamState};
use rand::{Rng, seq::IndexedRandom};
use wire::exchange::{Envelope, RouteMember, RouteOwner, RouteTable};

use crate::control::{
    calls::{Consistency, StoredGroup},
    group::Group,
    state::{Control, DocumentSource, GROUPS_MAX},
};

/// The most services whose routes are kept, since callers can name any number of services.
const SERVICES_MAX: usize = 1024;
/// The most service names without a document that are looked up at the same time.
const LOOKUPS_MAX: usize = 16;
/// How long a service name counts as absent before it may be looked up again.
const ABSENT_TTL: Duration = Duration::from_secs(5);
/// The interval between two refreshes of a service's routes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval between two queries for one service, even if its routes are stale.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// The number of consecutive unanswered queries above which the platform is read.
const UNANSWERED_MAX: u32 = 3;
/// The number of members that are queried at the same time while queries stay unanswered.
const PARALLEL_QUERIES: usize = 2;
/// How long the same member is queried. Each member that is queried costs a control link, and one
/// that is cut off from its coordinator supplies stale routes.
const SOURCE_KEPT_FOR: Duration = Duration::from_secs(10);
/// How long a group after the first that has no members counts as absent before it is queried again.
const ABSENT_GROUP_INTERVAL: Duration = Duration::from_secs(5);
/// A group after which there may be another one has at least this share of its largest number of members.
const NEARLY_FULL_SHARE: f64 = 0.875;

/// A group of a service.
pub(super) type GroupKey = (ServiceName, GroupId);

/// The routes of all foreign groups of the services that callers have requested.
#[derive(Debug, Default)]
pub(crate) struct ForeignRoutes {
    table: BTreeMap<GroupKey, ForeignGroup>,
}

/// One foreign group: its routes and the state of the queries for them.
#[derive(Debug, Default)]
struct ForeignGroup {
    /// The newest known routes, `None` until a member or the platform has supplied some.
    routes: Option<RouteTable>,
    queried_at: Timestamp,
    /// The member that is queried, and since when.
    source: Option<(Instance, Timestamp)>,
    /// The number of queries since a member last answered.
    unanswered: u32,
    /// When the platform was last read for this group.
    platform_queried_at: Option<Timestamp>,
    /// When a read of the platform first found no such service.
    absent_since: Option<Timestamp>,
}

/// The recipients of one query for routes.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RouteQuery {
    /// The number of members to query.
    pub(super) members: usize,
    /// The consistency of the platform read, or `None` if the platform is not read.
    pub(super) platform: Option<Consistency>,
}

impl ForeignGroup {
    /// Returns whether members of the service answer queries for its routes.
    fn has_responsive_members(&self) -> bool {
        self.routes.is_some() && self.unanswered <= UNANSWERED_MAX
    }

    /// Returns the consistency of a platform read. Until the first routes are known, a stale read is good enough: the
    /// members that it lists supply newer ones, and a group takes seconds to form.
    fn consistency(&self) -> Consistency {
        if self.routes.is_some() { Consistency::Latest } else { Consistency::Stale }
    }

    /// Records one more query and returns its recipients. The platform is included if no routes are
    /// known or more than [`UNANSWERED_MAX`] queries are unanswered. It is read at most once per
    /// [`REFRESH_INTERVAL`], however often stale routes are reported.
    fn begin_query(&mut self, now: Timestamp) -> RouteQuery {
        self.queried_at = now;
        self.unanswered += 1;
        let is_unresponsive = self.unanswered > UNANSWERED_MAX || self.routes.is_none();
        let due = self.platform_queried_at.is_none_or(|it| now.since(it) >= REFRESH_INTERVAL);
        let platform = (is_unresponsive && due).then(|| self.consistency());
        if platform.is_some() {
            self.platform_queried_at = Some(now);
        }
        RouteQuery { members: if is_unresponsive { PARALLEL_QUERIES } else { 1 }, platform }
    }

    /// Returns the members to query: the former one if it has answered, or else random ones, of
    /// the zone `near` if the service has members there.
    fn sources(
        &mut self,
        now: Timestamp,
        count: usize,
        near: &Zone,
        rng: &mut impl Rng,
    ) -> Vec<Instance> {
        let Some(routes) = &self.routes else { return Vec::new() };
        let is_member = |it: &Instance| routes.members.iter().any(|member| member.instance == *it);
        match &self.source {
            Some((source, since))
                if self.unanswered <= 1
                    && now.since(*since) < SOURCE_KEPT_FOR
                    && is_member(source) =>
            {
                return vec![source.clone()];
            }
            _ => {}
        }
        let is_near = |it: &&RouteMember| it.instance.zone == *near;
        let near: Vec<&RouteMember> = routes.members.iter().filter(is_near).collect();
        let all: Vec<&RouteMember> = routes.members.iter().collect();
        // After an unanswered query, the whole zone may be unavailable.
        let candidates = if near.is_empty() || self.unanswered > 1 { all } else { near };
        let sampled: Vec<Instance> =
            candidates.sample(rng, count).map(|it| it.instance.clone()).collect();
        self.source = sampled.first().map(|it| (it.clone(), now));
        sampled
    }

    /// Updates the routes from a peer's table and returns whether they changed. Agents of other
    /// services forward tables that they have received, so only a table from a member resets the
    /// count of unanswered queries or replaces routes of the same version. A table without members
    /// is useless, and such agents would forward it to each other for ever.
    fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        if table.members.is_empty() {
            return false;
        }
        let current = self.routes.as_ref();
        let version = current.map_or(0, |it| it.version);
        let is_newer = current.is_none() || table.version > version;
        let is_member = table.members.iter().any(|it| it.instance == *from);
        // While queries stay unanswered, a member's table replaces even routes of a higher version.
        let is_current = table.version >= version || self.unanswered > UNANSWERED_MAX;
        if !(is_newer || is_member && is_current) {
            return false;
        }
        let changed = current != Some(&table);
        self.routes = Some(table);
        if is_member {
            self.unanswered = 0;
        }
        changed
    }

    /// Resets the count of unanswered queries if `from` is a member and has the same route version.
    fn confirm_unchanged(&mut self, from: &Instance, version: u64) {
        let Some(routes) = &self.routes else { return };
        let is_member = routes.members.iter().any(|it| it.instance == *from);
        if is_member && routes.version == version {
            self.unanswered = 0;
        }
    }
}

impl ForeignRoutes {
    /// Adds a service that callers have requested.
    #[cfg(test)]
    pub(super) fn add(&mut self, service: &ServiceName) {
        self.table.entry(first_group(service)).or_default();
    }

    /// Begins a query for the routes of a service, or returns `None` if the service is not listed.
    #[cfg(test)]
    pub(super) fn begin_query(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<RouteQuery> {
        self.table.get_mut(&first_group(service)).map(|it| it.begin_query(now))
    }

    /// Returns the member to query for a service's routes.
    #[cfg(test)]
    pub(super) fn sources(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        near: &Zone,
        rng: &mut impl Rng,
    ) -> Vec<Instance> {
        let group = self.table.get_mut(&first_group(service));
        group.map_or_else(Vec::new, |it| it.sources(now, 1, near, rng))
    }

    /// Updates a group's routes from a peer's table and returns whether they changed.
    pub(super) fn update(&mut self, from: &Instance, table: RouteTable) -> bool {
        let key = (table.service.clone(), table.group);
        self.table.get_mut(&key).is_some_and(|it| it.update(from, table))
    }

    /// Returns whether members of a service answer queries for its routes.
    #[cfg(test)]
    pub(super) fn has_responsive_members(&self, service: &ServiceName) -> bool {
        let group = self.table.get(&first_group(service));
        group.is_some_and(ForeignGroup::has_responsive_members)
    }

    #[cfg(test)]
    pub(super) fn member_count(&self, service: &ServiceName) -> Option<usize> {
        Some(self.table.get(&first_group(service))?.routes.as_ref()?.members.len())
    }

    /// Marks a service as absent, since the platform has no accepted document of it.
    pub(super) fn mark_absent(&mut self, now: Timestamp, service: &ServiceName) {
        for foreign in self.groups_of_mut(service) {
            foreign.absent_since.get_or_insert(now);
        }
    }

    /// Makes a refresh of a service's routes due at once, since its document has come into force.
    pub(super) fn mark_due(&mut self, service: &ServiceName) {
        for foreign in self.groups_of_mut(service) {
            foreign.queried_at = Timestamp::ZERO;
            foreign.absent_since = None;
        }
    }

    /// Returns the known routes of each service, one table for each group.
    pub(super) fn services(&self) -> BTreeMap<&ServiceName, Vec<&RouteTable>> {
        let mut services: BTreeMap<&ServiceName, Vec<&RouteTable>> = BTreeMap::new();
        for ((service, _), foreign) in &self.table {
            services.entry(service).or_default().extend(&foreign.routes);
        }
        services
    }

    /// Returns the known routes of all groups.
    pub(super) fn tables(&self) -> impl Iterator<Item = &RouteTable> + Clone {
        self.table.values().filter_map(|it| it.routes.as_ref())
    }

    fn groups_of_mut(&mut self, service: &ServiceName) -> impl Iterator<Item = &mut ForeignGroup> {
        self.table.iter_mut().filter(move |(key, _)| key.0 == *service).map(|(_, it)| it)
    }
}

fn first_group(service: &ServiceName) -> GroupKey {
    (service.clone(), GroupId::FIRST)
}

impl Control {
    /// Looks up the document and the routes of a service, unless it is this instance's own, was
    /// queried recently, or would exceed the limits on listed and looked-up services.
    pub(super) fn look_up_service(&mut self, now: Timestamp, service: ServiceName) {
        let is_full = self.foreign.table.len() >= SERVICES_MAX;
        let key = first_group(&service);
        let is_known = self.foreign.table.contains_key(&key);
        let listed = self.foreign.table.keys();
        let lookups = listed.filter(|it| self.documents.in_force(&it.0).is_none()).count();
        if service == *self.service() || (!is_known && (is_full || lookups >= LOOKUPS_MAX)) {
            return;
        }
        let foreign = self.foreign.table.entry(key).or_default();
        let was_queried = foreign.queried_at != Timestamp::ZERO;
        if was_queried && now.since(foreign.queried_at) < REFRESH_INTERVAL {
            return;
        }
        foreign.queried_at = now;
        let is_responsive = foreign.has_responsive_members();
        let consistency = foreign.consistency();
        self.read_accepted(&service);
        // Responsive members supply newer routes than the platform. Each central configuration looks
        // up all services again; without this condition, the two reads of the group for each service
        // in each process were a third of all platform calls.
        if !is_responsive {
            self.parts.calls.read_group(&service, GroupId::FIRST, consistency);
            self.query_peers(&service);
        }
        // The document may already be in force, from a watch.
        self.is_dirty = true;
    }

    /// Queries the routes of a service after a request was sent by a stale route. `owner` is the
    /// owner that a peer named.
    pub(super) fn on_stale_route(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        owner: Option<Instance>,
    ) {
        let groups = self.foreign.table.iter().filter(|(key, _)| key.0 == *service);
        let due = groups.filter(|(_, it)| now.since(it.queried_at) >= QUERY_INTERVAL_MIN);
        let due: Vec<GroupKey> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            self.query_routes(now, &key, owner.clone());
        }
    }

    /// Lists the groups that may exist besides the known ones: those of the own service that this instance is not a
    /// member of, and the group after each that is nearly full.
    fn list_groups(&mut self, now: Timestamp) {
        let mut wanted: Vec<GroupKey> = Vec::new();
        if let Some(group) = &self.group {
            let service = self.service().clone();
            if group.is_refused || !group.id.is_first() {
                wanted.push(first_group(&service));
            }
            wanted.extend(self.group_after((service, group.id), group.view.members.len()));
        }
        for (key, foreign) in &self.foreign.table {
            let members = foreign.routes.as_ref().map_or(0, |it| it.members.len());
            wanted.extend(self.group_after(key.clone(), members));
        }
        wanted.retain(|it| !self.is_member_of(it) && !self.foreign.table.contains_key(it));
        for key in wanted {
            let refused_by = self.group.as_ref().filter(|it| it.is_refused);
            let hint = refused_by.and_then(|it| it.view.coordinator.clone());
            // The coordinator that has refused this instance answers; the platform need not be read.
            let platform_queried_at = hint.is_some().then_some(now);
            let foreign = ForeignGroup { platform_queried_at, ..ForeignGroup::default() };
            self.foreign.table.insert(key.clone(), foreign);
            self.query_routes(now, &key, hint);
        }
        self.drop_own_groups();
    }

    /// Returns the group that may exist after a group with this number of members.
    fn group_after(&self, (service, group): GroupKey, members: usize) -> Option<GroupKey> {
        let document = &self.documents.in_force(&service)?.document;
        let nearly_full = document.ownership.members_max as f64 * NEARLY_FULL_SHARE;
        let next = group.next();
        let may_exist = !document.keyed && members as f64 >= nearly_full && next.0 < GROUPS_MAX;
        may_exist.then_some((service, next))
    }

    fn is_member_of(&self, (service, group): &GroupKey) -> bool {
        let is_member = |it: &Group| it.id == *group && it.is_joined();
        service == self.service() && self.group.as_ref().is_some_and(is_member)
    }

    /// Drops groups of the own service that this instance has become a member of.
    fn drop_own_groups(&mut self) {
        let joined = self.foreign.table.keys().find(|it| self.is_member_of(it)).cloned();
        if let Some(key) = joined {
            self.foreign.table.remove(&key);
            self.is_dirty = true;
        }
    }

    /// Queries the routes that are due for a refresh, and drops services that have been absent for
    /// [`ABSENT_TTL`].
    pub(super) fn refresh_foreign_routes(&mut self, now: Timestamp) {
        self.list_groups(now);
        self.foreign
            .table
            .retain(|_, it| it.absent_since.is_none_or(|since| now.since(since) < ABSENT_TTL));
        let interval = |(_, group): &GroupKey, it: &ForeignGroup| match &it.routes {
            None if !group.is_first() => ABSENT_GROUP_INTERVAL,
            _ => REFRESH_INTERVAL,
        };
        let due: Vec<GroupKey> = self
            .foreign
            .table
            .iter()
            .filter(|(_, it)| it.absent_since.is_none())
            .filter(|(key, it)| now.since(it.queried_at) >= interval(key, it))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.query_routes(now, &key, None);
        }
    }

    fn read_accepted(&self, service: &ServiceName) {
        if self.parts.documents_from == DocumentSource::ObjectStore {
            self.parts.calls.read_accepted(service);
        }
    }

    /// Queries the routes of a group from some of its members and from `hint`, and also from the
    /// platform and the configured peers if members do not answer.
    fn query_routes(&mut self, now: Timestamp, key: &GroupKey, hint: Option<Instance>) {
        let Some(foreign) = self.foreign.table.get_mut(key) else { return };
        let query = foreign.begin_query(now);
        if let Some(consistency) = query.platform {
            let (service, group) = key;
            self.read_accepted(service);
            self.parts.calls.read_group(service, *group, consistency);
            self.query_peers(service);
        }
        let mut targets = self.route_sources(now, key, query.members);
        targets.extend(hint);
        self.fetch_routes(key, targets);
    }

    fn route_sources(&mut self, now: Timestamp, key: &GroupKey, count: usize) -> Vec<Instance> {
        let zone = &self.parts.own.zone;
        let foreign = self.foreign.table.get_mut(key);
        foreign.map_or_else(Vec::new, |it| it.sources(now, count, zone, &mut self.rng))
    }

    fn fetch_routes(&self, key: &GroupKey, targets: Vec<Instance>) {
        let routes = self.foreign.table.get(key).and_then(|it| it.routes.as_ref());
        let known_version = routes.map_or(0, |it| it.version);
        for target in targets {
            let (service, group) = key.clone();
            let envelope = Envelope::FetchRoutes { service, group, known_version };
            // Sent to the address, since the known incarnation may be older than the running one.
            self.parts.links.send_to_address(target.control, envelope.encode());
        }
    }

    /// Answers a query for routes, either of the own group or of a foreign one as last received.
    /// An instance that has left its group no longer receives route changes and does not answer, so
    /// that the peer queries other members. If it answered, a rolling restart would send callers to
    /// the instance that left last until its process ends, for up to 5 s.
    pub(super) fn send_routes(&self, to: &Instance, key: &GroupKey, known: u64) {
        let is_member = self.is_member_of(key) && !self.is_handed_over();
        let own = is_member.then(|| self.own_routes()).flatten();
        let cached = || self.foreign.table.get(key).and_then(|it| it.routes.clone());
        let Some(table) = own.or_else(cached) else { return };
        let RouteTable { version, config, .. } = table;
        let (service, group) = key.clone();
        let answer = match version == known {
            true => Envelope::RoutesUnchanged { service, group, version, config },
            false => Envelope::Routes(table),
        };
        self.parts.links.send(to, answer.encode());
    }

    /// Handles a peer's answer that its routes still have the queried version.
    pub(super) fn on_routes_unchanged(
        &mut self,
        from: &Instance,
        key: GroupKey,
        version: u64,
        config: ConfigVersion,
    ) {
        if let Some(foreign) = self.foreign.table.get_mut(&key) {
            foreign.confirm_unchanged(from, version);
        }
        self.on_version_announced(from, key.0, config);
    }

    /// Handles a route table from a peer.
    pub(super) fn on_routes(&mut self, from: Instance, table: RouteTable) {
        let service = table.service.clone();
        let config = table.config;
        if service == *self.service() && self.group.is_none() {
            self.reported_members = table.members.iter().map(|it| it.instance.clone()).collect();
        }
        self.is_dirty |= self.foreign.update(&from, table);
        self.on_version_announced(&from, service, config);
    }

    /// Handles the stored state of a foreign group, which was read because no member answered.
    pub(super) fn on_group_read(&mut self, key: GroupKey, result: Result<StoredGroup, StoreError>) {
        let read = match result {
            Ok(read) => read,
            Err(error) => {
                log::debug!(target: "control", "Cannot read a group from the platform: {error}.");
                return;
            }
        };
        let now = self.now();
        let config = self.documents.version(&key.0);
        let Some(foreign) = self.foreign.table.get_mut(&key) else { return };
        if foreign.has_responsive_members() {
            return;
        }
        if let Some(plan) = read.plan {
            foreign.routes = Some(RouteTable { config, ..routes_from_plan(plan) });
            self.is_dirty = true;
        }
        let mut targets = self.route_sources(now, &key, PARALLEL_QUERIES);
        targets.extend(read.coordinator.and_then(|it| it.holder));
        self.fetch_routes(&key, targets);
    }

    /// Builds the own group's route table from the node's view.
    fn own_routes(&self) -> Option<RouteTable> {
        let group = self.group.as_ref()?;
        let view = &group.view;
        let in_force = self.documents.in_force(self.service())?;
        let mut members: Vec<RouteMember> = view
            .members
            .iter()
            .map(|it| RouteMember {
                instance: it.instance.clone(),
                ready: it.state == UpstreamState::Ready,
            })
            .collect();
        let mut owners = Vec::with_capacity(view.owners.len());
        for owner in &view.owners {
            let next = RouteOwner {
                slot: owner.slot,
                last: None,
                key_hash: owner.key_hash,
                owner: owner.owner.as_ref().map(|it| member_index(&mut members, it)),
                successors: owner
                    .successors
                    .iter()
                    .map(|it| member_index(&mut members, it))
                    .collect(),
            };
            if !owners.last_mut().is_some_and(|it: &mut RouteOwner| it.try_extend(&next)) {
                owners.push(next);
            }
        }
        Some(RouteTable {
            service: self.service().clone(),
            group: group.id,
            config: in_force.version,
            version: view.route_version,
            slot_count: in_force.document.slot_count,
            members,
            owners,
        })
    }
}

/// Returns the index of an instance in `members`. A missing instance is not a live member and is
/// added as not ready.
fn member_index(members: &mut Vec<RouteMember>, instance: &Instance) -> u16 {
    let index = members.iter().position(|it| it.instance == *instance).unwrap_or_else(|| {
        members.push(RouteMember { instance: instance.clone(), ready: false });
        members.len() - 1
    });
    index as u16
}

/// Builds a route table from a stored plan. Plans have no route version, so the table gets version
/// 0 and any member's table replaces it.
fn routes_from_plan(plan: Plan) -> RouteTable {
    let slots = plan.slots.into_iter().map(|it| RouteOwner {
        slot: it.slot,
        last: None,
        key_hash: None,
        owner: it.owner,
        successors: it.successors,
    });
    let keys = plan.hot_keys.into_iter().map(|it| RouteOwner {
        slot: plan.slot_count.slot_of(it.key_hash),
        last: None,
        key_hash: Some(it.key_hash),
        owner: it.owner,
        successors: it.successors,
    });
    RouteTable {
        service: plan.service,
        group: plan.group,
        config: ConfigVersion(0),
        version: 0,
        slot_count: plan.slot_count,
        owners: slots.chain(keys).collect(),
        members: plan
            .members
            .into_iter()
            .map(|instance| RouteMember { instance, ready: true })
            .collect(),
    }
}
