//! A request that crashes targets is refused everywhere, and no other is.

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

fn crash(fingerprint: Fingerprint, target: &str, life: u64) -> Crash {
    Crash {
        fingerprint,
        target: Target::from(target),
        incarnation: Incarnation(life),
    }
}

#[test]
fn the_second_crash_refuses_a_request_on_every_entry_and_spares_the_rest() {
    let now = Moment::from_millis(5);
    let guilty = fingerprint("family-1", 1);
    let mut seen = Quarantine::new(QuarantineConfig::default());
    let mut told = Quarantine::new(QuarantineConfig::default());

    let first = seen.record_crash(now, &crash(guilty, "a", 1));
    let again = seen.record_crash(now, &crash(guilty, "a", 1));
    let second = seen.record_crash(now, &crash(guilty, "b", 7));
    let Some(Command::Quarantine {
        fingerprint: named,
        active,
        span,
    }) = second
    else {
        panic!("no command after the second crash");
    };
    told.apply_command(now, named, active, span);

    assert_eq!((first, again), (None, None));
    for quarantine in [&seen, &told] {
        let refusal = quarantine.check(now, guilty).unwrap();
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
    let guilty = fingerprint("family-1", 1);
    let span = Duration::from_secs(60);
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    quarantine.apply_command(now, guilty, true, span);

    assert!(quarantine.check(now, guilty).is_some());
    assert!(quarantine.check(now + span, guilty).is_none());
    quarantine.apply_command(now, guilty, false, span);
    assert_eq!(quarantine.refused_count(now), 0);
}

#[test]
fn a_crash_is_forgotten_after_a_while() {
    let config = QuarantineConfig::default();
    let later = Moment::from_millis(5) + config.crash_window;
    let request = fingerprint("family-1", 1);
    let mut quarantine = Quarantine::new(config);

    quarantine.record_crash(Moment::from_millis(5), &crash(request, "a", 1));
    let second = quarantine.record_crash(later, &crash(request, "b", 1));

    assert_eq!(second, None);
}
