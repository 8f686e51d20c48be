//! Publishes a complete snapshot for the traffic threads whenever part of it has changed.

use std::{collections::HashMap, sync::Arc};

use model::{Instance, ServiceName};
use ownership::UpstreamState;
use wire::exchange::{RouteMember, RouteTable};

use crate::{
    control::{documents::InForce, state::Control},
    snapshot::{
        KeyRoutes, LeaveReason, LocalUpstream, MemberRoute, OwnerRoute, Routes, ServiceRoutes,
        Snapshot,
    },
};

impl Control {
    /// Publishes a new snapshot if the last one is outdated.
    pub(crate) fn publish(&mut self) {
        if !self.is_dirty {
            return;
        }
        self.is_dirty = false;
        let mut services = HashMap::new();
        for (service, tables) in self.foreign.services() {
            let Some(in_force) = self.documents.in_force(service) else { continue };
            let routes = routes_of(in_force, &tables);
            services.insert(service.clone(), Arc::new(service_routes(service, in_force, routes)));
        }
        if let Some(routes) = self.own_service_routes() {
            services.insert(routes.service.clone(), Arc::new(routes));
        }
        let announcement = self.upstream.announcement.clone();
        let announcement = announcement.filter(|_| self.upstream.is_zone_known());
        let local = announcement.map(|announcement| LocalUpstream {
            leaving: match self.is_stopping {
                true => Some(LeaveReason::Stopping),
                false => self.upstream.leaving(),
            },
            is_confirmed: self.upstream.is_confirmed(),
            leaves_for_good: self.upstream.leaves_for_good(),
            announcement,
        });
        let members = self.group.iter().flat_map(|it| &it.view.members).map(|it| &it.instance);
        let foreign = self.foreign.tables().flat_map(|it| &it.members);
        self.parts.relay.set_instances(members.chain(foreign.map(|it| &it.instance)));
        self.parts.snapshots.store(Snapshot { services, routing: self.routing.clone(), local });
    }

    /// Confirms the published list of members of the own service, if they are all in the own group: the leases of this
    /// agent say nothing of other groups.
    pub(crate) fn confirm_members(&self) {
        let Some(group) = &self.group else { return };
        if !self.parts.gate.has_unconfirmed_lease(group.view.term) {
            return;
        }
        let mut other_tables = self.foreign.tables().filter(|it| it.service == *self.service());
        if other_tables.all(|it| it.group == group.id) {
            self.parts.gate.confirm_members(group.view.term);
        }
    }

    /// Returns the routes of the own service: those of the own group, and of its other groups if there are any. Returns
    /// `None` if the own service is only known as a foreign one.
    fn own_service_routes(&self) -> Option<ServiceRoutes> {
        let group = self.group.as_ref()?;
        let view = &group.view;
        let service = self.service();
        let in_force = self.documents.in_force(service)?;
        let tables = self.foreign.tables().filter(|it| it.service == *service);
        if !group.is_joined() && tables.clone().next().is_some() {
            return None;
        }
        let routes = if in_force.document.keyed {
            Routes::ByKey(KeyRoutes::from_view(in_force.document.slot_count, view))
        } else {
            let own = view.members.iter();
            let own = own.map(|it| MemberRoute { instance: it.instance.clone(), state: it.state });
            let others = tables.filter(|it| it.group != group.id).flat_map(|it| &it.members);
            Routes::Any(own.chain(others.map(member_route)).collect())
        };
        Some(service_routes(service, in_force, routes))
    }
}

fn service_routes(service: &ServiceName, in_force: &InForce, routes: Routes) -> ServiceRoutes {
    ServiceRoutes {
        service: service.clone(),
        version: in_force.version,
        document: Arc::clone(&in_force.document),
        routes,
    }
}

/// Returns the routes of a service with these tables of its groups.
fn routes_of(in_force: &InForce, tables: &[&RouteTable]) -> Routes {
    if in_force.document.keyed {
        let first = tables.iter().find(|it| it.group.is_first());
        return Routes::ByKey(key_routes(in_force, first.copied()));
    }
    Routes::Any(tables.iter().flat_map(|it| &it.members).map(member_route).collect())
}

fn member_route(member: &RouteMember) -> MemberRoute {
    let state = if member.ready { UpstreamState::Ready } else { UpstreamState::Starting };
    MemberRoute { instance: member.instance.clone(), state }
}

/// Builds the routes of a service that is sharded by key. Without a table, no slot has an owner.
fn key_routes(in_force: &InForce, table: Option<&RouteTable>) -> KeyRoutes {
    let slot_count = in_force.document.slot_count;
    let mut slots = vec![OwnerRoute::default(); usize::from(slot_count.count())];
    let mut hot_keys = HashMap::new();
    let instance = |members: &[RouteMember], index: u16| -> Option<Instance> {
        members.get(usize::from(index)).map(|it| it.instance.clone())
    };
    for owner in table.iter().flat_map(|it| &it.owners) {
        let members = table.map_or(&[][..], |it| &it.members);
        let route = OwnerRoute {
            owner: owner.owner.and_then(|it| instance(members, it)),
            successors: owner.successors.iter().filter_map(|it| instance(members, *it)).collect(),
        };
        let range = usize::from(owner.slot.0)..=usize::from(owner.last().0);
        match (owner.key_hash, slots.get_mut(range)) {
            (Some(key_hash), _) => drop(hot_keys.insert(key_hash, route)),
            (None, Some(slots)) => slots.fill(route),
            (None, None) => {}
        }
    }
    let route_version = table.map_or(0, |it| it.version);
    KeyRoutes { route_version, slot_count, slots, hot_keys }
}
