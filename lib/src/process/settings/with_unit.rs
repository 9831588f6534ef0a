//! Settings written with their units, as a settings file has them.

/// Time spans such as `250ms`.
pub(super) mod span {
    use crate::process::unit::HumanDuration;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub(in super::super) fn serialize<S>(span: &Duration, out: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        HumanDuration(*span).serialize(out)
    }

    pub(in super::super) fn deserialize<'de, D>(input: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        HumanDuration::deserialize(input).map(Duration::from)
    }
}

/// Sizes such as `64KiB`.
pub(super) mod size {
    use crate::process::unit::HumanByteSize;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(in super::super) fn serialize<S>(size: &u64, out: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        HumanByteSize(*size).serialize(out)
    }

    pub(in super::super) fn deserialize<'de, D>(input: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        HumanByteSize::deserialize(input).map(u64::from)
    }
}
