//! Identifiers of instances, terms, grants, versions and requests.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{InstanceName, Zone};

/// The bits of a version below its era: enough for 80 years at 400 changes a second.
const REVISION_BITS: u32 = 40;
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

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
    /// The version that the platform gives an object, above all that it gave before; 0 means "does not exist".
    ObjectVersion(u64);
    /// The accepted version of a service document; only rises.
    ConfigVersion(u64);
    /// A group of at most 32 members within a service.
    GroupId(u16);
    /// A request, named by its caller; the same through all resends.
    RequestId(u128);
}

impl ObjectVersion {
    /// A store that comes back from an older copy gives revisions out again, in a later era.
    pub fn of(era: u64, revision: u64) -> ObjectVersion {
        ObjectVersion(era << REVISION_BITS | revision & REVISION_MAX)
    }

    /// How often the store had come back from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The store's own number.
    pub fn revision(self) -> u64 {
        self.0 & REVISION_MAX
    }
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
