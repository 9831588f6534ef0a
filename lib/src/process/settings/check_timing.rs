//! Checks the intervals, leases and timeouts of the control plane against each other.
//!
//! A lease must outlast the heartbeats and the election that renew it.

use super::{
    Timing,
    check::{duration, nonzero_duration, value_error},
    error::LocatedError,
    file::{LocatedText, TimingSection},
};
use serde_saphyr::Location;
use std::time::Duration;

/// Longest lease of an entry, and longest election timeout.
const MAX_LEASE_OR_ELECTION: Duration = Duration::from_secs(60);

/// Parses the durations of the section and checks them against each other.
pub(super) fn timing(section: &TimingSection) -> Result<Timing, LocatedError> {
    let default = Timing::default();
    let timing = Timing {
        heartbeat: nonzero_duration(
            "timing.heartbeat",
            section.heartbeat.as_ref(),
            default.heartbeat,
        )?,
        entry_lease: duration(
            "timing.entry_lease",
            section.entry_lease.as_ref(),
            default.entry_lease,
        )?,
        target_lease: duration(
            "timing.target_lease",
            section.target_lease.as_ref(),
            default.target_lease,
        )?,
        election: nonzero_duration(
            "timing.election",
            section.election.as_ref(),
            default.election,
        )?,
        drift: duration("timing.drift", section.drift.as_ref(), default.drift)?,
    };
    check_order(section, &timing).map(|()| timing)
}

/// Checks that each lease outlasts what renews it.
fn check_order(section: &TimingSection, timing: &Timing) -> Result<(), LocatedError> {
    // The location of `preferred`, or of any value that is set: the conflict may be with a default.
    let location = |preferred: &Option<LocatedText>| {
        [
            preferred,
            &section.heartbeat,
            &section.election,
            &section.entry_lease,
            &section.target_lease,
            &section.drift,
        ]
        .into_iter()
        .flatten()
        .next()
        .map_or(Location::UNKNOWN, |text| text.referenced)
    };
    let longest = timing.entry_lease.max(timing.election);
    if longest > MAX_LEASE_OR_ELECTION {
        return Err(value_error(
            location(&section.entry_lease),
            "timing",
            "the entry lease or the election timeout is longer than 60s",
            "shorten it; keys can stay unserved that long",
        ));
    }
    if timing.entry_lease <= 2 * timing.heartbeat + timing.election {
        return Err(value_error(
            location(&section.entry_lease),
            "timing.entry_lease",
            "is not longer than two heartbeats and an election timeout",
            "lengthen it; otherwise the lease of every entry expires when the leader changes",
        ));
    }
    if timing.target_lease > timing.entry_lease {
        return Err(value_error(
            location(&section.target_lease),
            "timing.target_lease",
            "is longer than the entry's lease",
            "shorten it to `timing.entry_lease` or less",
        ));
    }
    if timing.target_lease <= 2 * timing.heartbeat {
        return Err(value_error(
            location(&section.target_lease),
            "timing.target_lease",
            "is not longer than two heartbeats",
            "lengthen it; otherwise the lease expires after one lost probe",
        ));
    }
    if timing.drift >= timing.heartbeat {
        return Err(value_error(
            location(&section.drift),
            "timing.drift",
            "is not shorter than a heartbeat",
            "shorten it; clocks of healthy hosts drift apart by far less",
        ));
    }
    Ok(())
}
