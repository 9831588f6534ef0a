//! A request that crashes targets is refused on every entry, and no other request is.

use cornelrail_lib::{
    moment::Moment,
    name::{Incarnation, Service, Target},
    request::{
        outcome::{Certainty, RefusalReason},
        quarantine::{Crash, FingerprintInput, Quarantine, QuarantineConfig},
    },
    version::command::{Command, Fingerprint},
};
use std::time::Duration;

fn fingerprint(customer: &str, body: u8) -> Fingerprint {
    let service = Service::from("payroll-core");
    let body = [body; 32];
    let sample = FingerprintInput {
        service: &service,
        endpoint: "POST /pay",
        customer,
        body: &body,
    };
    sample.fingerprint()
}

fn crash(fingerprint: Fingerprint, target: &str, incarnation: u64) -> Crash {
    Crash {
        fingerprint,
        target: Target::from(target),
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn the_second_crash_quarantines_the_request_on_every_entry_and_no_other() {
    let now = Moment::from_millis(5);
    let crashing = fingerprint("family-1", 1);
    let mut reporting_entry = Quarantine::new(QuarantineConfig::default());
    let mut other_entry = Quarantine::new(QuarantineConfig::default());

    let first_crash = reporting_entry.record_crash(now, &crash(crashing, "a", 1));
    let repeated_report = reporting_entry.record_crash(now, &crash(crashing, "a", 1));
    let second_crash = reporting_entry.record_crash(now, &crash(crashing, "b", 7));
    let Some(Command::Quarantine {
        fingerprint: quarantined,
        active,
        duration,
    }) = second_crash
    else {
        panic!("the second crash returned no command");
    };
    other_entry.apply_command(now, quarantined, active, duration);

    assert_eq!((first_crash, repeated_report), (None, None));
    for quarantine in [&reporting_entry, &other_entry] {
        let refusal = quarantine.check(now, crashing).unwrap();
        assert_eq!(refusal.reason, RefusalReason::Quarantined);
        assert_eq!(refusal.certainty, Certainty::NotRun);
        for other in [fingerprint("family-2", 1), fingerprint("family-1", 2)] {
            assert_eq!(quarantine.check(now, other), None);
        }
    }
}

#[test]
fn a_refusal_ends_by_time_or_by_command() {
    let now = Moment::from_millis(5);
    let crashing = fingerprint("family-1", 1);
    let duration = Duration::from_secs(60);
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    quarantine.apply_command(now, crashing, true, duration);

    assert!(quarantine.check(now, crashing).is_some());
    assert!(quarantine.check(now + duration, crashing).is_none());
    quarantine.apply_command(now, crashing, false, duration);
    assert_eq!(quarantine.refused_count(now), 0);
}

#[test]
fn a_crash_is_forgotten_after_the_crash_window() {
    let config = QuarantineConfig::default();
    let later = Moment::from_millis(5) + config.crash_window;
    let crashing = fingerprint("family-1", 1);
    let mut quarantine = Quarantine::new(config);

    quarantine.record_crash(Moment::from_millis(5), &crash(crashing, "a", 1));
    let second_crash = quarantine.record_crash(later, &crash(crashing, "b", 1));

    assert_eq!(second_crash, None);
}
