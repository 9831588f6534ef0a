//! Values with units, as settings and release notes write them.
//!
//! A time span is a whole number followed by `us`, `ms`, `s`, `m` or `h`, such as `250ms`; a size
//! is a whole number followed by `B`, `KiB`, `MiB` or `GiB`. Zero needs its unit too.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{fmt, str::FromStr, time::Duration};
use thiserror::Error;

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000 * MICROS_PER_MILLI;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;

const SPAN_UNITS: [(&str, u64); 5] = [
    ("h", MICROS_PER_HOUR),
    ("m", MICROS_PER_MINUTE),
    ("s", MICROS_PER_SECOND),
    ("ms", MICROS_PER_MILLI),
    ("us", 1),
];
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Why a value with a unit cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The text does not begin with a whole number.
    #[error("`{0}` is not a whole number with a unit; write for example {1}")]
    Number(String, &'static str),
    /// The unit is missing or unknown.
    #[error("`{0}` has a missing or unknown unit; write for example {1}")]
    Unit(String, &'static str),
    /// The value does not fit.
    #[error("`{0}` is too large; write a smaller value")]
    Large(String),
}

const SPAN_EXAMPLE: &str = "250ms, 2s or 5m";
const SIZE_EXAMPLE: &str = "64KiB or 8MiB";

fn parse(
    text: &str,
    units: &[(&'static str, u64)],
    example: &'static str,
) -> Result<u64, UnitError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    if number.is_empty() {
        return Err(UnitError::Number(text.to_owned(), example));
    }
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(|| UnitError::Unit(text.to_owned(), example))?;
    number
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(*factor))
        .ok_or_else(|| UnitError::Large(text.to_owned()))
}

fn display(value: u64, units: &[(&str, u64)], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let smallest = units[units.len() - 1];
    let (name, factor) = units
        .iter()
        .find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor))
        .unwrap_or(&smallest);
    write!(f, "{}{name}", value / factor)
}

macro_rules! unit_value {
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

/// Time span that is written with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse(text, &SPAN_UNITS, SPAN_EXAMPLE).map(|micros| Span(Duration::from_micros(micros)))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.as_micros() as u64 {
            0 => f.write_str("0s"),
            micros => display(micros, &SPAN_UNITS, f),
        }
    }
}

unit_value!(Span, Duration);

/// Number of bytes that is written with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse(text, &SIZE_UNITS, SIZE_EXAMPLE).map(Size)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        display(self.0, &SIZE_UNITS, f)
    }
}

unit_value!(Size, u64);
