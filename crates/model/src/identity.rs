//! Identifiers of instances, terms, grants, versions and requests.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{InstanceName, Zone};

/// Number of low bits of a version that hold the revision, enough for 80 years at 400 changes per second. The bits
/// above hold the era.
const REVISION_BITS: u32 = 40;
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;
const ERA_MAX: u64 = u64::MAX >> REVISION_BITS;
/// Number of low bits of a term drawn after a rollback that hold its tie-breaker. The bits above hold the round.
const TIE_BREAKER_BITS: u32 = 32;

macro_rules! number_types {
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

number_types! {
    /// Identifier of one execution of an agent process, drawn at random at its start.
    Incarnation(u64);
    /// Term of a coordinator in one group. It increases with each change of coordinator. After a rollback of the store to
    /// an older snapshot it consists of a round and a tie-breaker and is compared by round first; before, it is a plain
    /// number.
    Term(u64);
    /// Version that the platform assigns to a state of an object, higher than all versions assigned before. 0 means that
    /// the object does not exist.
    ObjectVersion(u64);
    /// Accepted version of a service document. It never decreases.
    ConfigVersion(u64);
    /// Number of a group within a service; the first one is 0.
    GroupId(u16);
    /// Identifier of a request, chosen by its caller and equal for all its attempts.
    RequestId(u128);
}

impl GroupId {
    /// The group that exists in each service.
    pub const FIRST: GroupId = GroupId(0);

    pub fn next(self) -> GroupId {
        GroupId(self.0.saturating_add(1))
    }

    pub fn is_first(&self) -> bool {
        *self == GroupId::FIRST
    }
}

impl Term {
    /// Returns the term after this one in a store that was never rolled back. There, conditional updates order all
    /// terms, so that their numbers are unique.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }

    /// Returns the term of a round that was drawn after a rollback of the store. It is above all terms that were drawn
    /// before the first rollback.
    pub fn after_rollback(round: u32) -> Term {
        Term(u64::from(round) << TIE_BREAKER_BITS)
    }

    /// Returns the round of this term. Terms drawn before the first rollback are their own round.
    pub fn round(self) -> u64 {
        match self.0 >> TIE_BREAKER_BITS {
            0 => self.0,
            round => round,
        }
    }

    /// Returns the tie-breaker of a term drawn after a rollback, or `None` for any other term. Only earlier versions of
    /// the agent, whose rounds were not unique, draw one other than 0.
    pub(crate) fn tie_breaker(self) -> Option<u32> {
        (self.0 >> TIE_BREAKER_BITS > 0).then_some(self.0 as u32)
    }
}

impl ObjectVersion {
    /// Combines an era and a revision. A store that was rolled back to an older snapshot assigns the same revisions
    /// again, in a later era.
    ///
    /// # Errors
    ///
    /// If one of the numbers, as received from a store, needs more bits than a version has for it.
    pub fn try_of(era: u64, revision: u64) -> Result<ObjectVersion, VersionError> {
        match () {
            () if era > ERA_MAX => Err(VersionError { part: "era", number: era }),
            () if revision > REVISION_MAX => {
                Err(VersionError { part: "revision", number: revision })
            }
            () => Ok(ObjectVersion(era << REVISION_BITS | revision)),
        }
    }

    /// Combines an era and a revision that other versions have had.
    ///
    /// # Panics
    ///
    /// If one of the numbers needs more bits than a version has for it.
    pub fn of(era: u64, revision: u64) -> ObjectVersion {
        match ObjectVersion::try_of(era, revision) {
            Ok(version) => version,
            Err(error) => panic!("{error}"),
        }
    }

    /// Returns the number of rollbacks of the store before this version.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the store's revision within the era.
    pub fn revision(self) -> u64 {
        self.0 & REVISION_MAX
    }
}

/// A number of a store has no place in a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the {part} {number} of the store is too large for a version")]
pub struct VersionError {
    pub part: &'static str,
    pub number: u64,
}

/// Fence token. It increases with each grant of a slot and is compared by term first, then by sequence.
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

/// One incarnation of an agent, with the addresses at which peers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    pub name: InstanceName,
    pub incarnation: Incarnation,
    pub zone: Zone,
    /// Address at which the control thread listens.
    pub control: SocketAddr,
    /// Address at which the traffic threads listen for forwarded requests.
    pub traffic: SocketAddr,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:08x}", self.name, self.incarnation.0 as u32)
    }
}
