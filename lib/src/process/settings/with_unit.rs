//! Settings written with their units, as a settings file has them.

/// Time spans such as `250ms`.
pub(super) mod span {
    use crate::process::unit::Span;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub(in super::super) fn serialize<S>(span: &Duration, out: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        Span(*span).serialize(out)
    }

    pub(in super::super) fn deserialize<'de, D>(input: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        Span::deserialize(input).map(Duration::from)
    }
}

/// Sizes such as `64KiB`.
pub(super) mod size {
    use crate::process::unit::Size;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(in super::super) fn serialize<S>(size: &u64, out: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        Size(*size).serialize(out)
    }

    pub(in super::super) fn deserialize<'de, D>(input: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        Size::deserialize(input).map(u64::from)
    }
}
