//! Durations and byte sizes with their unit, as settings and release notes write them.
//!
//! A duration is a whole number followed by `us`, `ms`, `s`, `m` or `h`, such as `250ms`. A byte
//! size is a whole number followed by `B`, `KiB`, `MiB` or `GiB`. Zero needs a unit as well.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{fmt, str::FromStr, time::Duration};
use thiserror::Error;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000 * MICROS_PER_MILLI;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;

const DURATION_UNITS: [(&str, u64); 5] = [
    ("h", MICROS_PER_HOUR),
    ("m", MICROS_PER_MINUTE),
    ("s", MICROS_PER_SECOND),
    ("ms", MICROS_PER_MILLI),
    ("us", 1),
];
const BYTE_SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Error in a value with a unit: the value, and examples of a correct one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The text does not begin with a digit.
    #[error("`{0}` is not a whole number with a unit; write for example {1}")]
    NotANumber(String, &'static str),
    /// The unit is missing or unknown.
    #[error("`{0}` has a missing or unknown unit; write for example {1}")]
    UnknownUnit(String, &'static str),
    /// The value exceeds a `u64` of bytes or microseconds.
    #[error("`{0}` is too large; write a smaller value")]
    TooLarge(String),
}

const DURATION_EXAMPLE: &str = "250ms, 2s or 5m";
const BYTE_SIZE_EXAMPLE: &str = "64KiB or 8MiB";

/// Parses a whole number with a unit; the result is in the smallest of `units`.
fn parse_with_unit(
    text: &str,
    units: &[(&'static str, u64)],
    example: &'static str,
) -> Result<u64, UnitError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    if number.is_empty() {
        return Err(UnitError::NotANumber(text.to_owned(), example));
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(|| UnitError::UnknownUnit(text.to_owned(), example))?;
    number
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(*factor))
        .ok_or_else(|| UnitError::TooLarge(text.to_owned()))
}

/// Writes `value` in the largest unit that divides it; `units` go from large to small.
fn write_with_unit(value: u64, units: &[(&str, u64)], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let smallest = units[units.len() - 1];
    let (name, factor) = units
        .iter()
        .find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor))
        .unwrap_or(&smallest);
    write!(f, "{}{name}", value / factor)
}

macro_rules! impl_unit_value {
    ($name:ident, $inner:ty) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }

        impl From<$name> for $inner {
            fn from(value: $name) -> $inner {
                value.0
            }
        }
    };
}

/// Duration that is written with its unit, such as `250ms`, to the microsecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Duration);

impl FromStr for HumanDuration {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_with_unit(text, &DURATION_UNITS, DURATION_EXAMPLE)
            .map(|micros| HumanDuration(Duration::from_micros(micros)))
    }
}

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.as_micros() as u64 {
            0 => f.write_str("0s"),
            micros => write_with_unit(micros, &DURATION_UNITS, f),
        }
    }
}

impl_unit_value!(HumanDuration, Duration);

/// Number of bytes that is written with its unit, such as `64KiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanByteSize(pub u64);

impl FromStr for HumanByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_with_unit(text, &BYTE_SIZE_UNITS, BYTE_SIZE_EXAMPLE).map(HumanByteSize)
    }
}

impl fmt::Display for HumanByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_with_unit(self.0, &BYTE_SIZE_UNITS, f)
    }
}

impl_unit_value!(HumanByteSize, u64);
