//! Bytes that an agent transfers for the routes of a service that its own group does not serve.

use std::net::{Ipv4Addr, SocketAddr};

use model::{
    ConfigVersion, GroupId, Incarnation, Instance, InstanceName, ServiceName, Slot, SlotCount, Zone,
};
use wire::exchange::{Envelope, RouteMember, RouteOwner, RouteTable};

use super::{Slope, fit::Point, wire_size::bytes_on_wire};

const MEMBERS: [u16; 5] = [4, 8, 16, 24, 32];
const SLOTS: [u16; 5] = [64, 128, 256, 512, 1024];
const DEFAULT_MEMBERS: u16 = 8;
const DEFAULT_SLOTS: u16 = 96;

/// Measures a refresh, which is one query and its response, without any changed route and with all
/// routes changed.
pub(super) fn measure() -> Vec<Slope> {
    let against = |name, quantity, sizes: [u16; 5], bytes: fn(u16) -> u64| {
        let point = |size: u16| Point { x: f64::from(size), y: bytes(size) as f64 };
        Slope::new(name, quantity, sizes.map(point).to_vec())
    };
    vec![
        against("members", "route_refresh_unchanged_bytes", MEMBERS, |_| unchanged_bytes()),
        against("members", "route_refresh_all_bytes", MEMBERS, |it| full_bytes(it, DEFAULT_SLOTS)),
        against("slots", "route_refresh_all_bytes", SLOTS, |it| full_bytes(DEFAULT_MEMBERS, it)),
    ]
}

fn full_bytes(members: u16, slots: u16) -> u64 {
    refresh_bytes(Envelope::Routes(route_table(members, slots)))
}

fn unchanged_bytes() -> u64 {
    let RouteTable { service, group, version, config, .. } =
        route_table(DEFAULT_MEMBERS, DEFAULT_SLOTS);
    refresh_bytes(Envelope::RoutesUnchanged { service, group, version, config })
}

/// Returns the bytes of the query and its response, headers included.
fn refresh_bytes(answer: Envelope) -> u64 {
    let query =
        Envelope::FetchRoutes { service: service(), group: GroupId::FIRST, known_version: 1 << 20 };
    bytes_on_wire(&query.encode()) + bytes_on_wire(&answer.encode())
}

fn service() -> ServiceName {
    ServiceName::new("standings").expect("a valid name")
}

fn route_table(members: u16, slots: u16) -> RouteTable {
    let owner = |slot: u16| RouteOwner {
        slot: Slot(slot),
        last: None,
        key_hash: None,
        owner: Some(slot % members),
        successors: (1..=3).map(|it| (slot + it) % members).collect(),
    };
    RouteTable {
        service: service(),
        group: GroupId::FIRST,
        config: ConfigVersion(1 << 16),
        version: 1 << 20,
        slot_count: SlotCount::new(DEFAULT_SLOTS.max(slots)).expect("a valid count"),
        members: (0..members).map(member).collect(),
        owners: (0..slots).map(owner).collect(),
    }
}

fn member(number: u16) -> RouteMember {
    let address = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, number as u8), port));
    let instance = Instance {
        name: InstanceName::new(&format!("standings-{number}")).expect("a valid name"),
        incarnation: Incarnation(u64::MAX / 3),
        zone: Zone::new("drivers-stand").expect("a valid name"),
        control: address(7001),
        traffic: address(7002),
    };
    RouteMember { instance, ready: true }
}
