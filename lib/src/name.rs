//! Names and numbers that identify the parts of a fleet and the versions of its state.
//!
//! Each is a type of its own, so that the compiler rejects, say, an epoch in place of a fence.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

macro_rules! number_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Default,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next higher number.
            pub const fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

text_name! {
    /// Name of a service, such as `payroll-core`.
    Service
}

text_name! {
    /// Name of a target (a back end), unique in the fleet.
    Target
}

text_name! {
    /// Name of an availability zone.
    Zone
}

number_name! {
    /// Number of a daemon, unique in the fleet.
    Node
}

number_name! {
    /// Fencing token of a granted key range: each change of owner takes a number never used
    /// before.
    Fence
}

number_name! {
    /// Epoch of a target's home: grows with each change of the entry that sends to the target.
    Epoch
}

number_name! {
    /// One start of a process or target; a restart takes a higher number.
    Incarnation
}

number_name! {
    /// Version of the accepted configuration: the number of release notes applied.
    Version
}
