//! Serializes settings with their units, as they are written in a settings file.

/// Durations such as `250ms`.
pub(super) mod duration {
    use crate::process::unit::HumanDuration;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub(in super::super) fn serialize<S>(
        duration: &Duration,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        HumanDuration(*duration).serialize(serializer)
    }

    pub(in super::super) fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        HumanDuration::deserialize(deserializer).map(Duration::from)
    }
}

/// Byte sizes such as `64KiB`.
pub(super) mod byte_size {
    use crate::process::unit::HumanByteSize;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(in super::super) fn serialize<S>(bytes: &u64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        HumanByteSize(*bytes).serialize(serializer)
    }

    pub(in super::super) fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        HumanByteSize::deserialize(deserializer).map(u64::from)
    }
}
