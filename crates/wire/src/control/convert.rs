//! Conversions between typed messages and their wire types. Received lists and values are checked
//! against bounds.

use std::sync::Arc;

use model::{
    ConfigVersion, Incarnation, Instance, InstanceName, KeyHash, Slot, SlotCount, Term, Token, Zone,
};
use ownership::{
    CapacityReport, Command, GROUP_MEMBERS_MAX, HeldKey, HeldSlot, Holding, KeyLoad, KindTime,
    LoadReport, MemberNumber, MemberStatus, Message, Renew, Renewed, Report, RouteKey, RouteMember,
    RouteMemberChange, RouteRange, Routes, SessionId, SlotLoad, UpstreamState,
};

use super::{
    WireError,
    types::{
        WireCapacity, WireCommand, WireHeldKey, WireHeldSlot, WireHolding, WireInstance,
        WireKeyLoad, WireKindTime, WireLoad, WireMemberStatus, WireMessage, WireRenew, WireRenewed,
        WireReport, WireRouteKey, WireRouteMember, WireRouteMemberChange, WireRouteRange,
        WireRoutes, WireSlotLoad, WireToken, WireUpstream,
    },
};

/// Largest number of entries for slots: a group has no more slots.
const SLOTS_MAX: usize = SlotCount::MAX as usize;
/// Largest number of entries for hot keys.
const KEYS_MAX: usize = 1024;
/// Largest number of reports or commands that have not been acknowledged.
const UNACKNOWLEDGED_MAX: usize = SLOTS_MAX + KEYS_MAX;
/// Largest number of members removed since the route version of the receiver.
const REMOVED_MAX: usize = 2 * GROUP_MEMBERS_MAX;
/// Largest number of slots in a load report.
const LOAD_SLOTS_MAX: usize = 64;
/// Largest number of keys in a load report.
const LOAD_KEYS_MAX: usize = 16;
/// Largest number of kinds of requests in a report of capacity.
const CAPACITY_KINDS_MAX: usize = 4;

/// Converts the entries of a list after checking their number.
fn convert_list<W, T>(list: &'static str, max: usize, items: Vec<W>) -> Result<Vec<T>, WireError>
where
    T: TryFrom<W>,
    WireError: From<T::Error>,
{
    if items.len() > max {
        return Err(WireError::TooMany { list, count: items.len(), max });
    }
    items.into_iter().map(|it| T::try_from(it).map_err(WireError::from)).collect()
}

impl From<std::convert::Infallible> for WireError {
    fn from(never: std::convert::Infallible) -> WireError {
        match never {}
    }
}

/// Returns a function that converts the error of an invalid name into one that names the field.
fn invalid_value(field: &'static str) -> impl Fn(model::NameError) -> WireError {
    move |it| WireError::Value { field, reason: it.to_string() }
}

impl From<&Instance> for WireInstance {
    fn from(it: &Instance) -> WireInstance {
        let name = it.name.as_str().to_owned();
        let zone = it.zone.as_str().to_owned();
        WireInstance(name, it.incarnation.0, zone, it.control, it.traffic)
    }
}

impl TryFrom<WireInstance> for Instance {
    type Error = WireError;

    fn try_from(it: WireInstance) -> Result<Instance, WireError> {
        let WireInstance(name, incarnation, zone, control, traffic) = it;
        Ok(Instance {
            name: InstanceName::new(&name).map_err(invalid_value("instance"))?,
            incarnation: Incarnation(incarnation),
            zone: Zone::new(&zone).map_err(invalid_value("zone"))?,
            control,
            traffic,
        })
    }
}

fn instance(it: Option<WireInstance>) -> Result<Option<Instance>, WireError> {
    it.map(Instance::try_from).transpose()
}

impl From<Token> for WireToken {
    fn from(it: Token) -> WireToken {
        WireToken(it.term.0, it.sequence)
    }
}

impl From<WireToken> for Token {
    fn from(it: WireToken) -> Token {
        Token { term: Term(it.0), sequence: it.1 }
    }
}

impl From<UpstreamState> for WireUpstream {
    fn from(it: UpstreamState) -> WireUpstream {
        match it {
            UpstreamState::Starting => WireUpstream::Starting,
            UpstreamState::Ready => WireUpstream::Ready,
            UpstreamState::Draining => WireUpstream::Draining,
            UpstreamState::Lost => WireUpstream::Lost,
        }
    }
}

impl From<WireUpstream> for UpstreamState {
    fn from(it: WireUpstream) -> UpstreamState {
        match it {
            WireUpstream::Starting => UpstreamState::Starting,
            WireUpstream::Ready => UpstreamState::Ready,
            WireUpstream::Draining => UpstreamState::Draining,
            WireUpstream::Lost => UpstreamState::Lost,
        }
    }
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> WireMessage {
        let instance = |it: &Option<Instance>| it.as_ref().map(WireInstance::from);
        match message {
            Message::CoordinatorQuery { term } => WireMessage::CoordinatorQuery(term.0),
            Message::CoordinatorReply { term, coordinator, silence_ms } => {
                WireMessage::CoordinatorReply(term.0, instance(coordinator), *silence_ms)
            }
            Message::Announce { term } => WireMessage::Announce(term.0),
            Message::Released { term } => WireMessage::Released(term.0),
            Message::WitnessQuery { term, number } => WireMessage::WitnessQuery(term.0, *number),
            Message::WitnessReply { term, number, has_read } => {
                WireMessage::WitnessReply(term.0, *number, *has_read)
            }
            Message::Renew(it) => WireMessage::Renew(Box::new(it.as_ref().into())),
            Message::Renewed(it) => WireMessage::Renewed(Box::new(it.as_ref().into())),
            Message::SessionEnded { term, session } => WireMessage::SessionEnded(term.0, session.0),
            Message::NotCoordinator { term, coordinator } => {
                WireMessage::NotCoordinator(term.0, instance(coordinator))
            }
            Message::JoinRefused { term } => WireMessage::JoinRefused(term.0),
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = WireError;

    fn try_from(message: WireMessage) -> Result<Message, WireError> {
        Ok(match message {
            WireMessage::CoordinatorQuery(term) => Message::CoordinatorQuery { term: Term(term) },
            WireMessage::CoordinatorReply(term, coordinator, silence_ms) => {
                Message::CoordinatorReply {
                    term: Term(term),
                    coordinator: instance(coordinator)?,
                    silence_ms,
                }
            }
            WireMessage::Announce(term) => Message::Announce { term: Term(term) },
            WireMessage::Released(term) => Message::Released { term: Term(term) },
            WireMessage::WitnessQuery(term, number) => {
                Message::WitnessQuery { term: Term(term), number }
            }
            WireMessage::WitnessReply(term, number, has_read) => {
                Message::WitnessReply { term: Term(term), number, has_read }
            }
            WireMessage::Renew(it) => Message::Renew(Box::new((*it).try_into()?)),
            WireMessage::Renewed(it) => Message::Renewed(Box::new((*it).try_into()?)),
            WireMessage::SessionEnded(term, session) => {
                Message::SessionEnded { term: Term(term), session: SessionId(session) }
            }
            WireMessage::NotCoordinator(term, coordinator) => {
                Message::NotCoordinator { term: Term(term), coordinator: instance(coordinator)? }
            }
            WireMessage::JoinRefused(term) => Message::JoinRefused { term: Term(term) },
        })
    }
}

impl From<&Renew> for WireRenew {
    fn from(it: &Renew) -> WireRenew {
        WireRenew {
            term: it.term.0,
            session: it.session.0,
            sequence: it.sequence,
            upstream: it.upstream.into(),
            leaving: it.leaving,
            config: it.config.0,
            applied: it.applied,
            first_report: it.first_report,
            reports: it.reports.iter().map(WireReport::from).collect(),
            holding: it.holding.as_ref().map(WireHolding::from),
            load: it.load.as_ref().map(WireLoad::from),
            route_version: it.route_version,
            capacity: it.capacity.as_ref().map(WireCapacity::from),
        }
    }
}

impl TryFrom<WireRenew> for Renew {
    type Error = WireError;

    fn try_from(it: WireRenew) -> Result<Renew, WireError> {
        Ok(Renew {
            term: Term(it.term),
            session: SessionId(it.session),
            sequence: it.sequence,
            upstream: it.upstream.into(),
            leaving: it.leaving,
            config: ConfigVersion(it.config),
            applied: it.applied,
            first_report: it.first_report,
            reports: convert_list("reports", UNACKNOWLEDGED_MAX, it.reports)?,
            holding: it.holding.map(Holding::try_from).transpose()?,
            load: it.load.map(LoadReport::try_from).transpose()?,
            route_version: it.route_version,
            capacity: it.capacity.map(CapacityReport::try_from).transpose()?,
        })
    }
}

impl From<&Holding> for WireHolding {
    fn from(it: &Holding) -> WireHolding {
        let slot = |it: &HeldSlot| WireHeldSlot(it.slot.0, it.token.into(), it.closing);
        let key = |it: &HeldKey| WireHeldKey(it.key_hash.0, it.token.into(), it.closing);
        WireHolding(
            it.recently_lapsed,
            it.slots.iter().map(slot).collect(),
            it.keys.iter().map(key).collect(),
            it.excluded.iter().map(|it| it.0).collect(),
        )
    }
}

impl From<WireHeldSlot> for HeldSlot {
    fn from(WireHeldSlot(slot, token, closing): WireHeldSlot) -> HeldSlot {
        HeldSlot { slot: Slot(slot), token: token.into(), closing }
    }
}

impl From<WireHeldKey> for HeldKey {
    fn from(WireHeldKey(key_hash, token, closing): WireHeldKey) -> HeldKey {
        HeldKey { key_hash: KeyHash(key_hash), token: token.into(), closing }
    }
}

impl TryFrom<WireHolding> for Holding {
    type Error = WireError;

    fn try_from(it: WireHolding) -> Result<Holding, WireError> {
        let WireHolding(recently_lapsed, slots, keys, excluded) = it;
        let excluded: Vec<u64> = convert_list("excluded keys", KEYS_MAX, excluded)?;
        Ok(Holding {
            recently_lapsed,
            slots: convert_list("held slots", SLOTS_MAX, slots)?,
            keys: convert_list("held keys", KEYS_MAX, keys)?,
            excluded: excluded.into_iter().map(KeyHash).collect(),
        })
    }
}

impl From<&LoadReport> for WireLoad {
    fn from(it: &LoadReport) -> WireLoad {
        let slot = |it: &SlotLoad| WireSlotLoad(it.slot.0, it.load_us, it.in_flight);
        let key = |it: &KeyLoad| WireKeyLoad(it.key_hash.0, it.load_us);
        WireLoad(
            it.period_ms,
            it.total_us,
            it.slots.iter().map(slot).collect(),
            it.keys.iter().map(key).collect(),
        )
    }
}

impl From<WireSlotLoad> for SlotLoad {
    fn from(WireSlotLoad(slot, load_us, in_flight): WireSlotLoad) -> SlotLoad {
        SlotLoad { slot: Slot(slot), load_us, in_flight }
    }
}

impl From<WireKeyLoad> for KeyLoad {
    fn from(WireKeyLoad(key_hash, load_us): WireKeyLoad) -> KeyLoad {
        KeyLoad { key_hash: KeyHash(key_hash), load_us }
    }
}

impl TryFrom<WireLoad> for LoadReport {
    type Error = WireError;

    fn try_from(it: WireLoad) -> Result<LoadReport, WireError> {
        let WireLoad(period_ms, total_us, slots, keys) = it;
        Ok(LoadReport {
            period_ms,
            total_us,
            slots: convert_list("loads of slots", LOAD_SLOTS_MAX, slots)?,
            keys: convert_list("loads of keys", LOAD_KEYS_MAX, keys)?,
            capacity: None,
        })
    }
}

impl From<&CapacityReport> for WireCapacity {
    fn from(it: &CapacityReport) -> WireCapacity {
        let kind = |it: &KindTime| WireKindTime(it.kind, it.count, it.total_us);
        WireCapacity(it.slots, it.kinds.iter().map(kind).collect())
    }
}

impl From<WireKindTime> for KindTime {
    fn from(WireKindTime(kind, count, total_us): WireKindTime) -> KindTime {
        KindTime { kind, count, total_us }
    }
}

impl TryFrom<WireCapacity> for CapacityReport {
    type Error = WireError;

    fn try_from(WireCapacity(slots, kinds): WireCapacity) -> Result<CapacityReport, WireError> {
        let kinds = convert_list("kinds of requests", CAPACITY_KINDS_MAX, kinds)?;
        Ok(CapacityReport { slots, kinds })
    }
}

impl From<&Report> for WireReport {
    fn from(it: &Report) -> WireReport {
        match it {
            Report::Prepared { slot, token } => WireReport::Prepared(slot.0, (*token).into()),
            Report::Closed { slot, token } => WireReport::Closed(slot.0, (*token).into()),
            Report::KeyClosed { key_hash, token } => {
                WireReport::KeyClosed(key_hash.0, (*token).into())
            }
            Report::Cleared { token } => WireReport::Cleared((*token).into()),
        }
    }
}

impl From<WireReport> for Report {
    fn from(it: WireReport) -> Report {
        match it {
            WireReport::Prepared(slot, token) => {
                Report::Prepared { slot: Slot(slot), token: token.into() }
            }
            WireReport::Closed(slot, token) => {
                Report::Closed { slot: Slot(slot), token: token.into() }
            }
            WireReport::KeyClosed(key_hash, token) => {
                Report::KeyClosed { key_hash: KeyHash(key_hash), token: token.into() }
            }
            WireReport::Cleared(token) => Report::Cleared { token: token.into() },
        }
    }
}

impl From<&Renewed> for WireRenewed {
    fn from(it: &Renewed) -> WireRenewed {
        WireRenewed {
            term: it.term.0,
            session: it.session.0,
            sequence: it.sequence,
            lease_ms: it.lease_ms,
            last_report: it.last_report,
            first_command: it.first_command,
            commands: it.commands.iter().map(WireCommand::from).collect(),
            routes: it.routes.as_ref().map(|it| Box::new(it.as_ref().into())),
            config: it.config.0,
            can_stop: it.can_stop,
        }
    }
}

impl TryFrom<WireRenewed> for Renewed {
    type Error = WireError;

    fn try_from(it: WireRenewed) -> Result<Renewed, WireError> {
        let routes = it.routes.map(|it| Routes::try_from(*it)).transpose()?;
        Ok(Renewed {
            term: Term(it.term),
            session: SessionId(it.session),
            sequence: it.sequence,
            lease_ms: it.lease_ms,
            last_report: it.last_report,
            first_command: it.first_command,
            commands: convert_list("commands", UNACKNOWLEDGED_MAX, it.commands)?,
            routes: routes.map(Arc::new),
            config: ConfigVersion(it.config),
            can_stop: it.can_stop,
        })
    }
}

impl From<&Command> for WireCommand {
    fn from(it: &Command) -> WireCommand {
        let instance = |it: &Option<Instance>| it.as_ref().map(WireInstance::from);
        match it {
            Command::Prepare { slot, token } => WireCommand::Prepare(slot.0, (*token).into()),
            Command::Admit { slot, token } => WireCommand::Admit(slot.0, (*token).into()),
            Command::Close { slot, token, to } => {
                WireCommand::Close(slot.0, (*token).into(), instance(to))
            }
            Command::AdmitKey { key_hash, token } => {
                WireCommand::AdmitKey(key_hash.0, (*token).into())
            }
            Command::ExcludeKey { key_hash, owner } => {
                WireCommand::ExcludeKey(key_hash.0, owner.into())
            }
            Command::RemoveKey { key_hash } => WireCommand::RemoveKey(key_hash.0),
            Command::Clear { token } => WireCommand::Clear((*token).into()),
            Command::CloseKey { key_hash, token, to } => {
                WireCommand::CloseKey(key_hash.0, (*token).into(), instance(to))
            }
        }
    }
}

impl TryFrom<WireCommand> for Command {
    type Error = WireError;

    fn try_from(it: WireCommand) -> Result<Command, WireError> {
        Ok(match it {
            WireCommand::Prepare(slot, token) => {
                Command::Prepare { slot: Slot(slot), token: token.into() }
            }
            WireCommand::Admit(slot, token) => {
                Command::Admit { slot: Slot(slot), token: token.into() }
            }
            WireCommand::Close(slot, token, to) => {
                Command::Close { slot: Slot(slot), token: token.into(), to: instance(to)? }
            }
            WireCommand::AdmitKey(key_hash, token) => {
                Command::AdmitKey { key_hash: KeyHash(key_hash), token: token.into() }
            }
            WireCommand::ExcludeKey(key_hash, owner) => {
                Command::ExcludeKey { key_hash: KeyHash(key_hash), owner: owner.try_into()? }
            }
            WireCommand::RemoveKey(key_hash) => Command::RemoveKey { key_hash: KeyHash(key_hash) },
            WireCommand::Clear(token) => Command::Clear { token: token.into() },
            WireCommand::CloseKey(key_hash, token, to) => Command::CloseKey {
                key_hash: KeyHash(key_hash),
                token: token.into(),
                to: instance(to)?,
            },
        })
    }
}

impl From<&Routes> for WireRoutes {
    fn from(it: &Routes) -> WireRoutes {
        let member = |it: &RouteMember| {
            WireRouteMember(it.number.0, (&it.instance).into(), it.status.into())
        };
        let change = |it: &RouteMemberChange| WireRouteMemberChange(it.number.0, it.status.into());
        let range = |it: &RouteRange| {
            let successors = it.successors.iter().map(|it| it.0).collect();
            let owner = it.owner.map(|it| it.0);
            WireRouteRange(it.first.0, it.last.0, owner, it.token.into(), successors)
        };
        let key =
            |it: &RouteKey| WireRouteKey(it.key_hash.0, it.owner.map(|it| it.0), it.token.into());
        WireRoutes(
            it.since,
            it.version,
            it.removed.iter().map(|it| it.0).collect(),
            it.joined.iter().map(member).collect(),
            it.changed.iter().map(change).collect(),
            it.slots.iter().map(range).collect(),
            it.keys.iter().map(key).collect(),
        )
    }
}

impl TryFrom<WireRouteMember> for RouteMember {
    type Error = WireError;

    fn try_from(it: WireRouteMember) -> Result<RouteMember, WireError> {
        let WireRouteMember(number, instance, status) = it;
        Ok(RouteMember {
            number: MemberNumber(number),
            instance: instance.try_into()?,
            status: status.into(),
        })
    }
}

impl From<WireRouteMemberChange> for RouteMemberChange {
    fn from(WireRouteMemberChange(number, status): WireRouteMemberChange) -> RouteMemberChange {
        RouteMemberChange { number: MemberNumber(number), status: status.into() }
    }
}

impl From<MemberStatus> for WireMemberStatus {
    fn from(it: MemberStatus) -> WireMemberStatus {
        WireMemberStatus(it.state.into(), it.load_us_per_s, it.config.0)
    }
}

impl From<WireMemberStatus> for MemberStatus {
    fn from(WireMemberStatus(state, load_us_per_s, config): WireMemberStatus) -> MemberStatus {
        let config = ConfigVersion(config);
        MemberStatus { state: state.into(), load_us_per_s, config }
    }
}

impl TryFrom<WireRouteRange> for RouteRange {
    type Error = WireError;

    fn try_from(it: WireRouteRange) -> Result<RouteRange, WireError> {
        let WireRouteRange(first, last, owner, token, successors) = it;
        if last < first || last >= SlotCount::MAX {
            let reason = format!("slots {first} to {last} are not a valid range");
            return Err(WireError::Value { field: "routes of slots", reason });
        }
        let successors: Vec<u16> = convert_list("successors", GROUP_MEMBERS_MAX, successors)?;
        let successors = successors.into_iter().map(MemberNumber).collect();
        let owner = owner.map(MemberNumber);
        let (first, last) = (Slot(first), Slot(last));
        Ok(RouteRange { first, last, owner, token: token.into(), successors })
    }
}

impl From<WireRouteKey> for RouteKey {
    fn from(WireRouteKey(key_hash, owner, token): WireRouteKey) -> RouteKey {
        let owner = owner.map(MemberNumber);
        RouteKey { key_hash: KeyHash(key_hash), owner, token: token.into() }
    }
}

impl TryFrom<WireRoutes> for Routes {
    type Error = WireError;

    fn try_from(it: WireRoutes) -> Result<Routes, WireError> {
        let WireRoutes(since, version, removed, joined, changed, slots, keys) = it;
        let removed: Vec<u16> = convert_list("removed members", REMOVED_MAX, removed)?;
        Ok(Routes {
            since,
            version,
            removed: removed.into_iter().map(MemberNumber).collect(),
            joined: convert_list("members", GROUP_MEMBERS_MAX, joined)?,
            changed: convert_list("changed members", GROUP_MEMBERS_MAX, changed)?,
            slots: convert_list("routes of slots", SLOTS_MAX, slots)?,
            keys: convert_list("routes of keys", KEYS_MAX, keys)?,
        })
    }
}
