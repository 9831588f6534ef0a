//! Durations and byte sizes parse back to the value that was written; malformed text is rejected.

use cornelrail_lib::process::unit::{HumanByteSize, HumanDuration, UnitError};
use std::time::Duration;

crate::properties! {
    fn written_durations_parse_back(micros: u32, scale: u8) -> bool {
        let duration = HumanDuration(Duration::from_micros(
            u64::from(micros) * 10_u64.pow(u32::from(scale % 7)),
        ));
        duration.to_string().parse() == Ok(duration)
    }

    fn written_byte_sizes_parse_back(bytes: u32, scale: u8) -> bool {
        let size = HumanByteSize(u64::from(bytes) << (scale % 24));
        size.to_string().parse() == Ok(size)
    }
}

#[test]
fn malformed_values_are_rejected_by_kind() {
    let error = |text: &str| text.parse::<HumanDuration>().expect_err(text);
    assert!(matches!(error("ms"), UnitError::NotANumber(..)));
    assert!(matches!(error("-2s"), UnitError::NotANumber(..)));
    assert!(matches!(error("250"), UnitError::UnknownUnit(..)));
    assert!(matches!(error("2 s"), UnitError::UnknownUnit(..)));
    assert!(matches!(error("2.5s"), UnitError::UnknownUnit(..)));
    assert!(matches!(error("99999999999999h"), UnitError::TooLarge(_)));
}
