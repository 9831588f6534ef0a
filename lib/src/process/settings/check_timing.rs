//! Checks of the time spans of the control plane.

use super::{
    Timing,
    check::{real_span, span, value_fault},
    error::Fault,
    raw::{RawTiming, Text},
};
use serde_saphyr::Location;
use std::time::Duration;

/// Longest time span of the control plane.
const TIMING_MAX: Duration = Duration::from_secs(60);

/// Reads the time spans and checks them against each other.
pub(super) fn timing(raw: &RawTiming) -> Result<Timing, Fault> {
    let default = Timing::default();
    let timing = Timing {
        heartbeat: real_span(
            "timing.heartbeat",
            raw.heartbeat.as_ref(),
            default.heartbeat,
        )?,
        entry_lease: span(
            "timing.entry_lease",
            raw.entry_lease.as_ref(),
            default.entry_lease,
        )?,
        target_lease: span(
            "timing.target_lease",
            raw.target_lease.as_ref(),
            default.target_lease,
        )?,
        election: real_span("timing.election", raw.election.as_ref(), default.election)?,
        drift: span("timing.drift", raw.drift.as_ref(), default.drift)?,
    };
    timing_order(raw, &timing).map(|()| timing)
}

/// Checks that the leases outlast what renews them.
fn timing_order(raw: &RawTiming, timing: &Timing) -> Result<(), Fault> {
    let place = |part: &Option<Text>| {
        [
            part,
            &raw.heartbeat,
            &raw.election,
            &raw.entry_lease,
            &raw.target_lease,
            &raw.drift,
        ]
        .into_iter()
        .flatten()
        .next()
        .map_or(Location::UNKNOWN, |text| text.referenced)
    };
    let longest = timing.entry_lease.max(timing.election);
    if longest > TIMING_MAX {
        return Err(value_fault(
            place(&raw.entry_lease),
            "timing",
            "a span is longer than 60s",
            "shorten it: keys would stay unserved that long",
        ));
    }
    if timing.entry_lease <= 2 * timing.heartbeat + timing.election {
        return Err(value_fault(
            place(&raw.entry_lease),
            "timing.entry_lease",
            "is not longer than two heartbeats and an election",
            "lengthen it, or a change of leader stops every entry",
        ));
    }
    if timing.target_lease > timing.entry_lease {
        return Err(value_fault(
            place(&raw.target_lease),
            "timing.target_lease",
            "is longer than the entry's lease",
            "shorten it to `timing.entry_lease` or less",
        ));
    }
    if timing.target_lease <= 2 * timing.heartbeat {
        return Err(value_fault(
            place(&raw.target_lease),
            "timing.target_lease",
            "is not longer than two heartbeats",
            "lengthen it, or one lost probe costs the target its lease",
        ));
    }
    if timing.drift >= timing.heartbeat {
        return Err(value_fault(
            place(&raw.drift),
            "timing.drift",
            "is not shorter than a heartbeat",
            "shorten it; clocks of healthy hosts part by far less",
        ));
    }
    Ok(())
}
