//! Which requests the leader of a seeded fleet holds to have ended targets.

use cornelrail_lib::{
    moment::Moment,
    request::balance::Breaks,
    version::{
        catalog::TargetId,
        command::Fingerprint,
        suspects::{ENDED_MAX, SuspectReport, Suspects, TargetLife, TrialReply},
    },
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};
use std::{collections::BTreeMap, time::Duration};

const HEARTBEAT: Duration = Duration::from_millis(870);
/// The request that ends targets.
const CRASHING: Fingerprint = Fingerprint(1);
/// Schedules that are played, each with its seed.
const SCHEDULES: u64 = 100;
const ENTRIES: usize = 5;
/// Length of a schedule, time until an ended target is back, and time after the third end within
/// which every entry refuses the request, in milliseconds.
const SCHEDULE: u64 = 60_000;
const BACK_AFTER: u64 = 3_000;
const KNOWN_AFTER: u64 = 3_000;
/// Times that the request may be sent after that.
const ALLOWED: usize = 3;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

fn suspects() -> Suspects {
    Suspects::new(HEARTBEAT, at(0))
}

/// Report of a connection that broke under a request.
fn broke(request: Fingerprint, target: u32, millis: u64) -> SuspectReport {
    let mut breaks = Breaks::default();
    breaks.record_break(at(millis), request, TargetId(target));
    breaks.take_news(at(millis))
}

fn refused(suspects: &mut Suspects, millis: u64, life: TargetLife) -> Vec<Fingerprint> {
    let judged = suspects.judge(at(millis), |_| life);
    judged.into_iter().map(|(request, _)| request).collect()
}

#[test]
fn connections_that_were_reset_while_their_targets_live_blame_nobody() {
    let mut suspects = suspects();
    for target in 0..10 {
        suspects.record(at(5_000), &broke(CRASHING, target, 5_000));
    }

    let living = refused(&mut suspects, 20_000, TargetLife::Heard(at(6_000)));
    let ended = refused(&mut suspects, 20_100, TargetLife::Ended);

    assert_eq!((living, ended), (vec![], vec![]));
}

#[test]
fn one_target_that_ends_under_a_request_counts_once() {
    let mut suspects = suspects();
    for millis in [5_000, 5_010, 5_020, 5_030] {
        suspects.record(at(millis), &broke(CRASHING, 7, millis));
    }

    let refused = refused(&mut suspects, 9_000, TargetLife::Ended);

    assert_eq!(refused, vec![]);
}

#[test]
fn an_answer_clears_a_request_of_earlier_ends() {
    let mut suspects = suspects();
    let mut breaks = Breaks::default();
    for target in 0..ENDED_MAX as u32 {
        breaks.record_break(at(5_000), CRASHING, TargetId(target));
    }
    let report = breaks.take_news(at(5_000));
    suspects.record(at(5_000), &report);
    assert!(breaks.record_answer(at(5_500), CRASHING));
    suspects.record(at(5_600), &breaks.take_news(at(5_600)));
    // The same again, as to a new leader.
    suspects.record(at(5_700), &broke(CRASHING, 0, 5_000));

    let refused = refused(&mut suspects, 9_000, TargetLife::Ended);

    assert_eq!(refused, vec![]);
}

#[test]
fn requests_beside_the_one_to_blame_are_not_refused_with_it() {
    let mut suspects = suspects();
    let beside = Fingerprint(2);
    for target in 0..ENDED_MAX as u32 {
        suspects.record(at(5_000), &broke(CRASHING, target, 5_000));
        if target > 0 {
            suspects.record(at(5_000), &broke(beside, target, 5_000));
        }
    }
    let first = refused(&mut suspects, 9_000, TargetLife::Ended);
    suspects.record(at(9_500), &broke(beside, 9, 9_500));

    let second = refused(&mut suspects, 14_000, TargetLife::Ended);

    assert_eq!((first, second), (vec![CRASHING], vec![]));
}

#[test]
fn a_new_leader_waits_for_heartbeats_and_keeps_what_is_refused() {
    let mut entry = Breaks::default();
    for target in 0..ENDED_MAX as u32 {
        entry.record_break(at(1_000), CRASHING, TargetId(target));
    }
    let mut leader = Suspects::new(HEARTBEAT, at(60_000));
    leader.record(at(60_100), &entry.report(at(60_100)));

    let early = refused(&mut leader, 61_000, TargetLife::Unheard);
    let late = refused(&mut leader, 63_000, TargetLife::Unheard);
    entry.apply_quarantine(at(63_000), &leader.quarantine().list(at(63_000)));
    let mut next = Suspects::new(HEARTBEAT, at(90_000));
    next.record(at(90_100), &entry.report(at(90_100)));

    assert_eq!((early, late), (vec![], vec![CRASHING]));
    let left = next.quarantine().left(at(90_100), CRASHING);
    assert!(
        left.is_some_and(|left| left < Duration::from_secs(575)),
        "{left:?}"
    );
}

fn trial(suspects: &mut Suspects, millis: u64) -> bool {
    let left = Duration::from_millis(1_000);
    suspects.request_trial(at(millis), CRASHING, left) == TrialReply::Granted
}

#[test]
fn copies_that_end_one_target_together_run_once_at_a_time_from_then_on() {
    let mut suspects = suspects();
    suspects.record(at(5_000), &broke(CRASHING, 7, 5_000));
    let after_one = (
        suspects.update_suspected().begun,
        trial(&mut suspects, 5_000),
    );
    suspects.record(at(5_001), &broke(CRASHING, 7, 5_001));
    let after_two = suspects.update_suspected().begun;

    let granted = [trial(&mut suspects, 5_010), trial(&mut suspects, 5_020)];
    suspects.end_trials(&[CRASHING]);
    let next = trial(&mut suspects, 5_200);

    assert_eq!((after_one, after_two), ((vec![], true), vec![CRASHING]));
    assert_eq!((granted, next), ([true, false], true));
}

#[test]
fn a_request_whose_trials_broke_is_not_tried_again_before_its_targets_are_judged() {
    let mut suspects = suspects();
    for (target, millis) in [(1, 5_000), (1, 5_000), (2, 9_000), (3, 9_200)] {
        trial(&mut suspects, millis);
        suspects.record(at(millis), &broke(CRASHING, target, millis));
        suspects.end_trials(&[CRASHING]);
    }

    let waiting = trial(&mut suspects, 9_300);
    let first = refused(&mut suspects, 9_300, TargetLife::Heard(at(4_900)));
    let judged = refused(&mut suspects, 12_000, TargetLife::Heard(at(4_900)));
    let after = trial(&mut suspects, 12_000);

    assert_eq!((waiting, first), (false, vec![]));
    assert_eq!((judged, after), (vec![CRASHING], false));
}

/// A zone goes dark under a request that many callers repeat.
#[test]
fn a_busy_request_whose_targets_end_together_is_tried_before_it_is_refused() {
    let mut suspects = suspects();
    let mut entry = Breaks::default();
    for target in 0..2 * ENDED_MAX as u32 {
        suspects.record(at(5_000), &broke(CRASHING, target, 5_000));
        suspects.record(at(5_000), &broke(CRASHING, target, 5_000));
    }
    suspects.update_suspected();
    entry.apply_suspected(suspects.suspected().iter().copied().collect());

    let is_granted = trial(&mut suspects, 5_100);
    let on_trial = refused(&mut suspects, 6_500, TargetLife::Ended);
    entry.record_answer(at(6_550), CRASHING);
    suspects.record(at(6_550), &entry.take_news(at(6_550)));
    suspects.end_trials(&[CRASHING]);
    let answered = refused(&mut suspects, 6_600, TargetLife::Ended);

    assert!(is_granted);
    assert_eq!((on_trial, answered), (vec![], vec![]));
    assert_eq!(suspects.update_suspected().ended, vec![CRASHING]);
}

#[test]
fn a_new_leader_grants_no_trial_while_one_of_the_former_may_be_under_way() {
    let mut leader = Suspects::new(HEARTBEAT, at(60_000));
    for target in 0..2 {
        leader.record(at(60_100), &broke(CRASHING, target, 59_000));
    }

    let granted = [trial(&mut leader, 60_900), trial(&mut leader, 61_100)];

    assert_eq!(granted, [false, true]);
}

#[test]
fn an_entry_without_a_reply_runs_a_suspected_request_once_at_a_time_and_not_for_ever() {
    let mut entry = Breaks::default();
    for target in 0..2 {
        entry.record_break(at(5_000), CRASHING, TargetId(target));
    }

    let first = entry.begin_trial(CRASHING, false);
    let beside = entry.begin_trial(CRASHING, false);
    entry.record_break(at(6_000), CRASHING, TargetId(2));
    entry.end_trial(CRASHING);
    let next = entry.begin_trial(CRASHING, false);

    assert!(entry.needs_trial(CRASHING));
    assert_eq!((first, beside, next), (true, false, false));
}

/// A leader, entries and targets. Callers repeat a request that ends its targets at any entry, and
/// send others; connections are reset, leaders change, entries restart, messages are late.
struct Play {
    rng: ChaCha8Rng,
    leader: Suspects,
    entries: Vec<Breaks>,
    /// Targets that are up, each with its latest heartbeat, and the time at which others start.
    targets: BTreeMap<TargetId, u64>,
    starts: Vec<u64>,
    next_target: u32,
    /// Reports to the leader on their way, each with its time of arrival.
    reports: Vec<(u64, SuspectReport)>,
    /// When targets ended.
    ends: Vec<u64>,
    refused_others: usize,
}

impl Play {
    fn new(seed: u64) -> Self {
        Play {
            rng: ChaCha8Rng::seed_from_u64(seed),
            leader: suspects(),
            entries: (0..ENTRIES).map(|_| Breaks::default()).collect(),
            targets: (0..8).map(|number| (TargetId(number), 0)).collect(),
            starts: Vec::new(),
            next_target: 8,
            reports: Vec::new(),
            ends: Vec::new(),
            refused_others: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        u64::from(self.rng.next_u32()) % below
    }

    fn pick_target(&mut self) -> Option<TargetId> {
        let number = self.draw(self.targets.len().max(1) as u64) as usize;
        self.targets.keys().nth(number).copied()
    }

    fn report(&mut self, now: u64, entry: usize) {
        let arrival = now + self.draw(200);
        let news = self.entries[entry].take_news(at(now));
        self.reports.push((arrival, news));
    }

    /// A caller sends a request to an entry; others are under way at the same target.
    fn send(&mut self, now: u64, request: Fingerprint) {
        let entry = self.draw(ENTRIES as u64) as usize;
        if self.entries[entry].refused_for(at(now), request).is_some() {
            self.refused_others += usize::from(request != CRASHING);
            return;
        }
        let Some(target) = self.pick_target() else {
            return;
        };
        let is_reset = self.draw(100) == 0;
        if request != CRASHING && !is_reset {
            self.entries[entry].record_answer(at(now), request);
        } else {
            self.entries[entry].record_break(at(now), request, target);
        }
        if request == CRASHING {
            self.targets.remove(&target);
            self.starts.push(now + BACK_AFTER);
            self.ends.push(now);
            for _ in 0..self.draw(4) {
                let (entry, beside) = (self.draw(ENTRIES as u64), self.draw(40));
                let beside = Fingerprint(100 + beside);
                self.entries[entry as usize].record_break(at(now), beside, target);
                self.report(now, entry as usize);
            }
        }
        self.report(now, entry);
    }

    fn disturb(&mut self, now: u64) {
        if self.draw(15_000) == 0 {
            self.leader = Suspects::new(HEARTBEAT, at(now));
            self.reports.clear();
            for entry in 0..ENTRIES {
                let report = self.entries[entry].report(at(now));
                self.reports.push((now + 100, report));
            }
        }
        if self.draw(15_000) == 0 {
            let entry = self.draw(ENTRIES as u64) as usize;
            self.entries[entry] = Breaks::default();
            let list = self.leader.quarantine().list(at(now));
            self.entries[entry].apply_quarantine(at(now), &list);
        }
    }

    fn step(&mut self, now: u64) {
        self.disturb(now);
        let due = self.starts.extract_if(.., |start| *start <= now).count();
        for _ in 0..due {
            self.targets.insert(TargetId(self.next_target), now);
            self.next_target += 1;
        }
        for (id, heard) in &mut self.targets {
            if (now + u64::from(id.0) * 131).is_multiple_of(HEARTBEAT.as_millis() as u64) {
                *heard = now;
            }
        }
        if now.is_multiple_of(500) {
            self.send(now, CRASHING);
        }
        if now.is_multiple_of(20) {
            let other = Fingerprint(100 + self.draw(40));
            self.send(now, other);
        }
        let arrived: Vec<_> = self
            .reports
            .extract_if(.., |(due, _)| *due <= now)
            .collect();
        for (_, report) in arrived {
            self.leader.record(at(now), &report);
        }
        if now.is_multiple_of(50) {
            let targets = &self.targets;
            // A target that has ended stays in the catalog until its successor joins.
            self.leader.judge(at(now), |id| match targets.get(&id) {
                Some(heard) => TargetLife::Heard(at(*heard)),
                None => TargetLife::Unheard,
            });
            let list = self.leader.quarantine().list(at(now));
            for entry in &mut self.entries {
                entry.apply_quarantine(at(now), &list);
            }
        }
    }
}

#[test]
fn a_request_is_bounded_over_all_entries_while_targets_leaders_and_entries_change() {
    let mut worst = 0;
    for seed in 0..SCHEDULES {
        let mut play = Play::new(seed);
        for now in 0..SCHEDULE {
            play.step(now);
        }
        let third = play.ends[ENDED_MAX - 1] + KNOWN_AFTER;
        let late = play.ends.iter().filter(|at| **at > third).count();
        worst = worst.max(late);
        assert!(late <= ALLOWED, "seed {seed}: sent {late} times more");
        assert_eq!(play.refused_others, 0, "seed {seed}: others are refused");
    }
    println!("sent at most {worst} times more");
}

/// Request that ends targets beside [`CRASHING`].
const OTHER: Fingerprint = Fingerprint(2);

/// Both requests were under way at each target that ended, and one of them is refused for that.
fn two_at_once() -> Suspects {
    let mut suspects = suspects();
    for target in 0..ENDED_MAX as u32 {
        suspects.record(at(5_000), &broke(CRASHING, target, 5_000));
        suspects.record(at(5_000), &broke(OTHER, target, 5_000));
    }
    assert_eq!(refused(&mut suspects, 9_000, TargetLife::Ended).len(), 1);
    suspects.update_suspected();
    suspects
}

/// The request of the two that is not refused.
fn left_over(suspects: &Suspects) -> Fingerprint {
    let both = [CRASHING, OTHER];
    let mut left = both
        .into_iter()
        .filter(|request| suspects.quarantine().left(at(9_000), *request).is_none());
    left.next().expect("one is not refused")
}

fn trial_of(suspects: &mut Suspects, request: Fingerprint, millis: u64) -> TrialReply {
    suspects.request_trial(at(millis), request, Duration::from_millis(1_000))
}

/// A request whose ends are explained by another one begins with no evidence, and ends three more.
#[test]
fn the_second_of_two_deadly_requests_ends_three_more_targets() {
    let mut suspects = two_at_once();
    let other = left_over(&suspects);
    let is_suspected = suspects.suspected().contains(&other);

    let granted = trial_of(&mut suspects, other, 10_000);
    suspects.record(at(10_050), &broke(other, 7, 10_050));
    suspects.end_trials(&[other]);
    let next = trial_of(&mut suspects, other, 10_100);
    let judged = refused(&mut suspects, 13_000, TargetLife::Ended);

    assert!(is_suspected);
    assert_eq!(granted, TrialReply::Granted);
    // The next one waits until it shows whether the target has ended.
    assert_ne!(next, TrialReply::Granted);
    assert_eq!(judged, vec![other]);
}

/// A harmless request beside a deadly one is refused for what its trial did not do.
#[test]
fn a_request_beside_a_deadly_one_is_cleared_by_its_trial() {
    let mut suspects = two_at_once();
    let harmless = left_over(&suspects);

    assert_eq!(
        trial_of(&mut suspects, harmless, 10_000),
        TrialReply::Granted
    );
    let answer = SuspectReport {
        answered: vec![(harmless, 0)],
        ..SuspectReport::default()
    };
    suspects.record(at(10_100), &answer);
    suspects.end_trials(&[harmless]);
    suspects.record(at(12_000), &broke(harmless, 9, 12_000));
    let judged = refused(&mut suspects, 16_000, TargetLife::Ended);

    assert_eq!(judged, vec![]);
}

/// The target of a trial lives on, as after a reset: that neither refuses the request nor bars it.
#[test]
fn a_trial_whose_connection_was_reset_is_followed_by_another() {
    let mut suspects = two_at_once();
    let other = left_over(&suspects);
    trial_of(&mut suspects, other, 10_000);
    suspects.record(at(10_050), &broke(other, 7, 10_050));
    suspects.end_trials(&[other]);

    let judged = refused(&mut suspects, 12_000, TargetLife::Heard(at(11_500)));

    assert_eq!(judged, vec![]);
    assert_eq!(trial_of(&mut suspects, other, 12_100), TrialReply::Granted);
}

/// Three deadly requests ran beside each other, and the trials of the two that are left share a target.
#[test]
fn a_target_that_two_suspects_share_refuses_neither_at_once() {
    let third = Fingerprint(3);
    let mut suspects = suspects();
    for target in 0..ENDED_MAX as u32 {
        for request in [CRASHING, OTHER, third] {
            suspects.record(at(5_000), &broke(request, target, 5_000));
        }
    }
    let first = refused(&mut suspects, 9_000, TargetLife::Ended);
    let left: Vec<_> = [CRASHING, OTHER, third]
        .into_iter()
        .filter(|request| !first.contains(request))
        .collect();
    for request in &left {
        trial_of(&mut suspects, *request, 10_000);
        suspects.record(at(10_050), &broke(*request, 7, 10_050));
    }
    suspects.end_trials(&left);

    let judged = refused(&mut suspects, 14_000, TargetLife::Ended);

    assert_eq!((first.len(), judged), (1, vec![]));
}

/// Harmless requests run on the same target, and none of them is suspected.
#[test]
fn the_second_of_two_deadly_requests_hides_among_harmless_ones() {
    let mut suspects = two_at_once();
    let other = left_over(&suspects);
    trial_of(&mut suspects, other, 10_000);
    for request in [other, Fingerprint(3), Fingerprint(4)] {
        suspects.record(at(10_050), &broke(request, 7, 10_050));
    }
    suspects.end_trials(&[other]);

    let judged = refused(&mut suspects, 14_000, TargetLife::Ended);

    assert_eq!(judged, vec![other]);
}
