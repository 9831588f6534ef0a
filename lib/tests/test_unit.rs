//! Values with units read back as they are written, and nothing else is read.

use cornelrail_lib::process::unit::{Size, Span, UnitError};
use std::time::Duration;

crate::properties! {
    fn spans_read_back(micros: u32, scale: u8) -> bool {
        let span = Span(Duration::from_micros(u64::from(micros) * 10_u64.pow(u32::from(scale % 7))));
        span.to_string().parse() == Ok(span)
    }

    fn sizes_read_back(bytes: u32, scale: u8) -> bool {
        let size = Size(u64::from(bytes) << (scale % 24));
        size.to_string().parse() == Ok(size)
    }
}

#[test]
fn a_wrong_unit_is_refused_by_kind() {
    let error = |text: &str| text.parse::<Span>().expect_err(text);
    assert!(matches!(error("ms"), UnitError::Number(..)));
    assert!(matches!(error("-2s"), UnitError::Number(..)));
    assert!(matches!(error("250"), UnitError::Unit(..)));
    assert!(matches!(error("2 s"), UnitError::Unit(..)));
    assert!(matches!(error("2.5s"), UnitError::Unit(..)));
    assert!(matches!(error("99999999999999h"), UnitError::Large(_)));
}
