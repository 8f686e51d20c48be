//! One message on a control link.

use model::{ConfigVersion, GroupId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{CodecError, decode, encode, exchange::RouteTable};

/// The longest document that is sent, in bytes; the platform holds values of a megabyte.
const DOCUMENT_BYTES_MAX: usize = 1 << 20;
/// The most versions in one message.
const VERSIONS_MAX: usize = 1024;

/// One message between two control threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Envelope {
    /// An encoded `ownership::Message` of one group.
    Group {
        service: ServiceName,
        group: GroupId,
        payload: Vec<u8>,
    },
    /// Asks for the document in force.
    FetchDocument {
        service: ServiceName,
    },
    /// The document in force, as its team wrote it.
    Document {
        service: ServiceName,
        version: ConfigVersion,
        text: String,
    },
    /// Accepted versions that the sender knows of.
    Versions(Vec<(ServiceName, ConfigVersion)>),
    /// Asks any member of a service for its routes, unless they are those of `known_version`.
    FetchRoutes {
        service: ServiceName,
        known_version: u64,
    },
    Routes(RouteTable),
    /// The routes are those of this version still.
    RoutesUnchanged {
        service: ServiceName,
        version: u64,
        config: ConfigVersion,
    },
}

impl Envelope {
    pub fn encode(self) -> Vec<u8> {
        encode(&Wire::from(self))
    }

    /// Decodes a message of a peer.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
        Envelope::try_from(decode::<Wire>(bytes)?)
    }
}

/// The CBOR form; the short names spare bytes, since a renewal travels in each of these.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
enum Wire {
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
        #[serde(rename = "known")]
        known_version: u64,
    },
    #[serde(rename = "r")]
    Routes { table: RouteTable },
    #[serde(rename = "ru")]
    RoutesUnchanged { service: ServiceName, version: u64, config: ConfigVersion },
}

impl From<Envelope> for Wire {
    fn from(envelope: Envelope) -> Wire {
        match envelope {
            Envelope::Group { service, group, payload } => Wire::Group { service, group, payload },
            Envelope::FetchDocument { service } => Wire::FetchDocument { service },
            Envelope::Document { service, version, text } => {
                Wire::Document { service, version, text }
            }
            Envelope::Versions(versions) => Wire::Versions { versions },
            Envelope::FetchRoutes { service, known_version } => {
                Wire::FetchRoutes { service, known_version }
            }
            Envelope::Routes(table) => Wire::Routes { table },
            Envelope::RoutesUnchanged { service, version, config } => {
                Wire::RoutesUnchanged { service, version, config }
            }
        }
    }
}

impl TryFrom<Wire> for Envelope {
    type Error = CodecError;

    fn try_from(wire: Wire) -> Result<Envelope, CodecError> {
        match wire {
            Wire::Group { service, group, payload } => {
                Ok(Envelope::Group { service, group, payload })
            }
            Wire::FetchDocument { service } => Ok(Envelope::FetchDocument { service }),
            Wire::Document { text, .. } if text.len() > DOCUMENT_BYTES_MAX => {
                Err(invalid("text", format!("{} bytes", text.len())))
            }
            Wire::Document { service, version, text } => {
                Ok(Envelope::Document { service, version, text })
            }
            Wire::Versions { versions } if versions.len() > VERSIONS_MAX => {
                Err(invalid("versions", format!("{} of them", versions.len())))
            }
            Wire::Versions { versions } => Ok(Envelope::Versions(versions)),
            Wire::FetchRoutes { service, known_version } => {
                Ok(Envelope::FetchRoutes { service, known_version })
            }
            Wire::RoutesUnchanged { service, version, config } => {
                Ok(Envelope::RoutesUnchanged { service, version, config })
            }
            Wire::Routes { table } => {
                table.check().map_err(|reason| invalid("table", reason))?;
                Ok(Envelope::Routes(table))
            }
        }
    }
}

fn invalid(field: &'static str, reason: String) -> CodecError {
    CodecError::Invalid { field, reason }
}
