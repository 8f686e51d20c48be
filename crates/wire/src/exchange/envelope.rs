//! Messages on a control link.

use model::{ConfigVersion, GroupId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{
    CodecError, decode, encode,
    exchange::{
        RouteTable, StoreNews, StoreWatch,
        store::{check_news, check_watches},
    },
};

/// Longest document that is accepted. The platform stores values of up to a megabyte.
const DOCUMENT_BYTES_MAX: usize = 1 << 20;
/// Largest number of versions in a message.
const VERSIONS_MAX: usize = 1024;

/// Message between two control threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Envelope {
    /// Encoded `ownership::Message` of a group.
    Group { service: ServiceName, group: GroupId, payload: Vec<u8> },
    /// Requests the document in force.
    FetchDocument { service: ServiceName },
    /// Unmodified text of the document in force.
    Document { service: ServiceName, version: ConfigVersion, text: String },
    /// Announces the newest accepted versions known to the sender.
    Versions(Vec<(ServiceName, ConfigVersion)>),
    /// Requests the routes of a group from any of its members, unless they still have version
    /// `known_version`.
    FetchRoutes { service: ServiceName, group: GroupId, known_version: u64 },
    /// Reply to `FetchRoutes`, with the routes.
    Routes(RouteTable),
    /// Reply to `FetchRoutes`: the routes still have this version.
    RoutesUnchanged { service: ServiceName, group: GroupId, version: u64, config: ConfigVersion },
    /// Replaces the watches of the sender that the receiver answers. Repeated while the sender relies on the receiver.
    WatchStore { watches: Vec<StoreWatch> },
    /// Reply to `WatchStore`, and any later change. The sender's store last answered `age_ms` ago.
    StoreNews { age_ms: u32, news: Vec<StoreNews> },
    /// Reply to `WatchStore`: the sender does not answer the receiver's watches.
    StoreWatchRefused,
}

impl Envelope {
    pub fn encode(self) -> Vec<u8> {
        encode(&WireEnvelope::from(self))
    }

    /// Decodes and checks a message of a peer.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
        Envelope::try_from(decode::<WireEnvelope>(bytes)?)
    }
}

/// CBOR form of an envelope. Names are short, since every lease renewal is sent in a `Group`
/// envelope.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
enum WireEnvelope {
    #[serde(rename = "g")]
    Group {
        #[serde(rename = "s")]
        service: ServiceName,
        #[serde(rename = "g")]
        group: GroupId,
        #[serde(rename = "p", with = "serde_bytes")]
        payload: Vec<u8>,
    },
    #[serde(rename = "fd")]
    FetchDocument { service: ServiceName },
    #[serde(rename = "d")]
    Document { service: ServiceName, version: ConfigVersion, text: String },
    #[serde(rename = "v")]
    Versions { versions: Vec<(ServiceName, ConfigVersion)> },
    #[serde(rename = "fr")]
    FetchRoutes {
        service: ServiceName,
        #[serde(default, skip_serializing_if = "GroupId::is_first")]
        group: GroupId,
        #[serde(rename = "known")]
        known_version: u64,
    },
    #[serde(rename = "r")]
    Routes { table: RouteTable },
    #[serde(rename = "ru")]
    RoutesUnchanged {
        service: ServiceName,
        #[serde(default, skip_serializing_if = "GroupId::is_first")]
        group: GroupId,
        version: u64,
        config: ConfigVersion,
    },
    #[serde(rename = "ws")]
    WatchStore { watches: Vec<StoreWatch> },
    #[serde(rename = "sn")]
    StoreNews {
        #[serde(rename = "age")]
        age_ms: u32,
        news: Vec<StoreNews>,
    },
    #[serde(rename = "wr")]
    StoreWatchRefused,
}

impl From<Envelope> for WireEnvelope {
    fn from(envelope: Envelope) -> WireEnvelope {
        match envelope {
            Envelope::Group { service, group, payload } => {
                WireEnvelope::Group { service, group, payload }
            }
            Envelope::FetchDocument { service } => WireEnvelope::FetchDocument { service },
            Envelope::Document { service, version, text } => {
                WireEnvelope::Document { service, version, text }
            }
            Envelope::Versions(versions) => WireEnvelope::Versions { versions },
            Envelope::FetchRoutes { service, group, known_version } => {
                WireEnvelope::FetchRoutes { service, group, known_version }
            }
            Envelope::Routes(table) => WireEnvelope::Routes { table },
            Envelope::RoutesUnchanged { service, group, version, config } => {
                WireEnvelope::RoutesUnchanged { service, group, version, config }
            }
            Envelope::WatchStore { watches } => WireEnvelope::WatchStore { watches },
            Envelope::StoreNews { age_ms, news } => WireEnvelope::StoreNews { age_ms, news },
            Envelope::StoreWatchRefused => WireEnvelope::StoreWatchRefused,
        }
    }
}

impl TryFrom<WireEnvelope> for Envelope {
    type Error = CodecError;

    fn try_from(wire: WireEnvelope) -> Result<Envelope, CodecError> {
        match wire {
            WireEnvelope::Group { service, group, payload } => {
                Ok(Envelope::Group { service, group, payload })
            }
            WireEnvelope::FetchDocument { service } => Ok(Envelope::FetchDocument { service }),
            WireEnvelope::Document { text, .. } if text.len() > DOCUMENT_BYTES_MAX => {
                Err(invalid("text", format!("{} bytes are too many", text.len())))
            }
            WireEnvelope::Document { service, version, text } => {
                Ok(Envelope::Document { service, version, text })
            }
            WireEnvelope::Versions { versions } if versions.len() > VERSIONS_MAX => {
                Err(invalid("versions", format!("{} entries are too many", versions.len())))
            }
            WireEnvelope::Versions { versions } => Ok(Envelope::Versions(versions)),
            WireEnvelope::FetchRoutes { service, group, known_version } => {
                Ok(Envelope::FetchRoutes { service, group, known_version })
            }
            WireEnvelope::RoutesUnchanged { service, group, version, config } => {
                Ok(Envelope::RoutesUnchanged { service, group, version, config })
            }
            WireEnvelope::Routes { table } => {
                table.check().map_err(|reason| invalid("table", reason))?;
                Ok(Envelope::Routes(table))
            }
            WireEnvelope::WatchStore { watches } => {
                check_watches(&watches).map_err(|reason| invalid("watches", reason))?;
                Ok(Envelope::WatchStore { watches })
            }
            WireEnvelope::StoreNews { age_ms, news } => {
                check_news(&news).map_err(|reason| invalid("news", reason))?;
                Ok(Envelope::StoreNews { age_ms, news })
            }
            WireEnvelope::StoreWatchRefused => Ok(Envelope::StoreWatchRefused),
        }
    }
}

fn invalid(field: &'static str, reason: String) -> CodecError {
    CodecError::Invalid { field, reason }
}
