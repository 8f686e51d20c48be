//! Identifiers of instances, terms, grants, versions and requests.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{InstanceName, Zone};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// One life of an agent process: drawn at random when it starts.
    Incarnation(u64);
    /// A coordinator's term in one group; rises with each change of coordinator.
    Term(u64);
    /// The version that the platform gives an object; 0 means "does not exist".
    ObjectVersion(u64);
    /// The accepted version of a service document; only rises.
    ConfigVersion(u64);
    /// A group of at most 32 members within a service.
    GroupId(u16);
    /// A request, named by its caller; the same through all resends.
    RequestId(u128);
}

/// A fence token: rises with each grant of a slot, first by term, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Token {
    pub term: Term,
    pub sequence: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// One life of an agent, with the addresses at which its peers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    pub name: InstanceName,
    pub incarnation: Incarnation,
    pub zone: Zone,
    /// Where its control thread listens.
    pub control: SocketAddr,
    /// Where its traffic threads listen for forwarded requests.
    pub traffic: SocketAddr,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:08x}", self.name, self.incarnation.0 as u32)
    }
}
