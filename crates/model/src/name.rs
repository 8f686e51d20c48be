//! Names as shared immutable strings, validated once at their creation.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Length of the longest valid name.
const NAME_MAX_BYTES: usize = 63;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NameError {
    #[error("a name may not be empty")]
    Empty,
    #[error("a name has at most {NAME_MAX_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    #[error("a name holds a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |it: &char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_.".contains(*it);
    match text.chars().find(|it| !allowed(it)) {
        Some(it) => Err(NameError::Character(it)),
        None => Ok(()),
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name of 1 to 63 bytes from the characters `a-z 0-9 - _ .`.
            pub fn new(text: &str) -> Result<$name, NameError> {
                validate(text)?;
                Ok($name(Arc::from(text)))
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                $name::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

name_types! {
    /// Name of a customer of the system, the value of the label `tenant` in histograms.
    TeamName;
    /// Name of a service, which is described by one document.
    ServiceName;
    /// Name of an availability zone.
    Zone;
    /// Name of a class of requests within a service, such as `penalty` or `lap`.
    ClassName;
    /// Name of an instance, that is, a machine with one upstream and the agent beside it.
    InstanceName;
}
