//! Property tests that start from a fixed seed, so that every run has the same result.
//!
//! The environment variable `QUICKCHECK_SEED` sets another seed, to find failures that the fixed
//! one does not reach.

use quickcheck::{Gen, QuickCheck};
use std::env;

const DEFAULT_SEED: u64 = 0x636f_726e_656c;
/// Size parameter of QuickCheck, which bounds the lengths of generated collections.
const GEN_SIZE: usize = 100;

/// Checker that generates its cases from the seed.
pub fn checker() -> QuickCheck {
    let text = env::var("QUICKCHECK_SEED");
    let seed = text.ok().and_then(|text| text.parse().ok());
    QuickCheck::new().rng(Gen::from_size_and_seed(
        GEN_SIZE,
        seed.unwrap_or(DEFAULT_SEED),
    ))
}

/// Defines a `#[test]` for each property.
#[macro_export]
macro_rules! properties {
    ($(
        $(#[$attribute:meta])*
        fn $name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty $body:block
    )*) => {
        $(
            $(#[$attribute])*
            #[test]
            fn $name() {
                fn property($($argument: $type),*) -> $result $body
                $crate::property::checker().quickcheck(property as fn($($type),*) -> $result);
            }
        )*
    };
}
