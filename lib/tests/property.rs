//! Property tests from a fixed seed, so that every run gives the same verdict.
//!
//! `QUICKCHECK_SEED` sets another one, to look for faults that the fixed seed does not meet.

use quickcheck::{Gen, QuickCheck};
use std::env;

const SEED: u64 = 0x636f_726e_656c;
const SIZE: usize = 100;

/// Checker that starts from the seed.
pub fn check() -> QuickCheck {
    let named = env::var("QUICKCHECK_SEED");
    let seed = named.ok().and_then(|text| text.parse().ok());
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed.unwrap_or(SEED)))
}

/// Makes a test of each property.
#[macro_export]
macro_rules! properties {
    ($($(#[$note:meta])* fn $name:ident($($argument:ident: $kind:ty),* $(,)?) -> $verdict:ty $body:block)*) => {
        $(
            $(#[$note])*
            #[test]
            fn $name() {
                fn property($($argument: $kind),*) -> $verdict $body
                $crate::seeded::check().quickcheck(property as fn($($kind),*) -> $verdict);
            }
        )*
    };
}
