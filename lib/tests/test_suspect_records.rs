//! Findings about requests that end targets, as the leader commits them and the next one takes them
//! over.

use cornelrail_lib::{
    moment::Moment,
    version::{
        catalog::{Catalog, TargetId, Update},
        command::Fingerprint,
        feed::FromCore,
        suspect_records::{Finding, RecordsUpdate, SuspectRecord, SuspectRecords, WallTime},
        suspects::{Break, MEMORY, Quarantined, REQUESTS_MAX, SuspectReport, Suspects, TargetLife},
    },
};
use quickcheck::TestResult;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(870);
const REQUEST: Fingerprint = Fingerprint(1);
/// Time of day at which leaders begin.
const WALL: WallTime = WallTime(1_800_000_000_000);

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

/// Leader under which so many targets have ended by the request, 10 s after it began.
fn leader_after(ends: u32) -> Suspects {
    let mut leader = Suspects::new(HEARTBEAT, at(0));
    end_targets(&mut leader, 0..ends, at(5));
    leader
}

fn end_targets(leader: &mut Suspects, targets: std::ops::Range<u32>, when: Moment) {
    let breaks = targets.map(|target| Break {
        request: REQUEST,
        target: TargetId(target),
        age: 0,
    });
    let report = SuspectReport {
        breaks: breaks.collect(),
        ..SuspectReport::default()
    };
    leader.record(when, &report);
    leader.judge(when + Duration::from_secs(5), |_| TargetLife::Ended);
}

/// Records of what the leader finds at a time of its clock.
fn recorded(leader: &Suspects, now: Moment, wall: WallTime) -> SuspectRecords {
    let mut records = SuspectRecords::default();
    if let Some(update) = leader.unrecorded(now, wall, &records) {
        records.apply(&update);
    }
    records
}

/// Leader that begins at 0 s of its clock with the records.
fn next_leader(wall: WallTime, records: &SuspectRecords) -> Suspects {
    let mut leader = Suspects::new(HEARTBEAT, at(0));
    leader.restore(at(0), wall, records);
    leader
}

/// All processes end; the request ends three further targets before it is refused again.
#[test]
fn a_leader_without_entries_refuses_what_its_predecessor_refused() {
    let records = recorded(&leader_after(3), at(10), WALL);

    let later = WALL.after(Duration::from_secs(60));
    let leader = next_leader(later, &records);

    let left = leader.quarantine().left(at(0), REQUEST);
    assert_eq!(left, Some(MEMORY - Duration::from_secs(60)));
    assert_eq!(leader.unrecorded(at(0), later, &records), None);
}

/// Two ended targets count for nothing after such an end.
#[test]
fn the_third_end_after_a_start_refuses_a_request() {
    let records = recorded(&leader_after(2), at(10), WALL);
    let mut leader = next_leader(WALL, &records);
    let suspected = leader.update_suspected().begun;

    end_targets(&mut leader, 7..8, at(5));

    assert_eq!(suspected, vec![REQUEST]);
    assert!(leader.quarantine().left(at(10), REQUEST).is_some());
}

/// A request that ran beside one ended target is harmless as a rule, and there are many of them.
#[test]
fn one_ended_target_is_not_recorded() {
    let records = recorded(&leader_after(1), at(10), WALL);

    assert!(records.is_empty());
}

/// A request that was answered is held to be under suspicion for good.
#[test]
fn an_answer_drops_the_record_of_a_request() {
    let mut leader = leader_after(2);
    let mut records = recorded(&leader, at(10), WALL);
    let answer = SuspectReport {
        answered: vec![(REQUEST, 0)],
        ..SuspectReport::default()
    };

    leader.record(at(11), &answer);
    let update = leader.unrecorded(at(11), WALL, &records);

    records.apply(&update.expect("an update"));
    assert!(records.is_empty());
}

/// A record outlives the longest refusal when the clock has jumped back, or never ends.
#[test]
fn records_end_whatever_the_clock_says() {
    let records = recorded(&leader_after(3), at(10), WALL);
    let earlier = WallTime(WALL.0 - 3_600_000);

    let back = next_leader(earlier, &records);
    let ahead = next_leader(WALL.after(MEMORY), &records);

    assert_eq!(back.quarantine().left(at(0), REQUEST), Some(MEMORY));
    assert_eq!(back.quarantine().left(at(601), REQUEST), None);
    assert!(ahead.quarantine().is_empty());
}

/// Requests that are refused fill the disk.
#[test]
fn records_are_bounded_and_void_ones_are_dropped() {
    let count = REQUESTS_MAX as u64 + 10;
    let record = |until| SuspectRecord {
        finding: Finding::Refused,
        until: WallTime(until),
    };
    let set = (0..count).map(|n| (Fingerprint(n), Some(record(1_000 + n))));
    let mut records = SuspectRecords::default();

    records.apply(&RecordsUpdate {
        now: WallTime(500),
        changes: set.collect(),
    });
    let kept: Vec<_> = records.valid(WallTime(500)).map(|(f, _)| f.0).collect();
    records.apply(&RecordsUpdate {
        now: WallTime(1_000 + count),
        changes: Vec::new(),
    });

    assert_eq!(kept, (10..count).collect::<Vec<_>>());
    assert!(records.is_empty());
}

fn catalog_with_records() -> Catalog {
    let mut catalog = Catalog::default();
    let update = leader_after(3).unrecorded(at(10), WALL, &catalog.suspects);
    catalog.apply(&Update::Suspects(update.expect("an update")));
    catalog
}

/// A core host of the earlier release refuses the snapshot, or this one the earlier one's.
#[test]
fn snapshots_are_read_by_both_releases() {
    let catalog = catalog_with_records();
    let mut without = catalog.clone();
    without.suspects = SuspectRecords::default();

    let state = catalog.encode_state().expect("encoded");
    let earlier = postcard::to_stdvec(&without).expect("encoded");

    assert_eq!(Catalog::decode_state(&state), Ok(catalog));
    assert_eq!(Catalog::decode_state(&earlier), Ok(without.clone()));
    assert_eq!(postcard::from_bytes(&state), Ok(without));
}

/// An entry of the earlier release ends its connection at an update that it does not know.
#[test]
fn entries_get_no_findings() {
    let findings = Update::Suspects(RecordsUpdate::default());
    let other = Update::Leave(TargetId(5));

    let message = FromCore::updates(7, vec![findings, other.clone()]);
    let snapshot = FromCore::snapshot(7, &catalog_with_records());

    let expected = FromCore::Updates(7, vec![other]);
    let bytes = |message: &FromCore| postcard::to_stdvec(message).expect("encoded");
    assert_eq!(bytes(&message), bytes(&expected));
    let plain = FromCore::snapshot(7, &Catalog::default());
    assert_eq!(bytes(&snapshot), bytes(&plain));
}

crate::properties! {
    /// Leaders that follow each other, on clocks that jump, refuse a request for longer than it may be.
    fn a_refusal_ends_however_often_leaders_change(jumps: Vec<i16>) -> TestResult {
        let mut records = SuspectRecords::default();
        let mut leader = Suspects::new(HEARTBEAT, at(0));
        let refused = Quarantined { request: REQUEST, left: 600_000 };
        leader.record(at(0), &SuspectReport { quarantined: vec![refused], ..Default::default() });
        let mut wall = WALL;
        for jump in jumps {
            if let Some(update) = leader.unrecorded(at(0), wall, &records) {
                records.apply(&update);
            }
            wall = WallTime(wall.0.saturating_add_signed(20_000 + i64::from(jump)));
            leader = next_leader(wall, &records);
            let is_over = wall.since(WALL) >= MEMORY;
            if is_over && leader.quarantine().left(at(0), REQUEST).is_some() {
                return TestResult::error("it is still refused");
            }
        }
        TestResult::passed()
    }
}
