//! Operators' notes in separate processes: races, lost answers, freezes and restarts.

use crate::hosts::{Hosts, TURN, first_note, view, zone};
use cornelrail_lib::{
    name::{Node, Service, Version},
    process::operator_api::{InForceAnswer, NoteAnswer},
    request::header,
};
use cornelrail_testutils::{caller::Caller, http::Client, ledger::Ledger, target::StandIn};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::MutexGuard,
    time::{Instant, sleep},
};

const DEADLINE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);
/// Time within which an accepted note is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

struct Fleet {
    _turn: MutexGuard<'static, ()>,
    hosts: Hosts,
}

/// Hosts of which three vote, with the first note in force.
async fn fleet(count: u64) -> Fleet {
    let turn = TURN.lock().await;
    let hosts = Hosts::start(count, 3);
    hosts.apply(0, &first_note(count)).await;
    for place in 0..count as usize {
        hosts
            .until(place, |status| status.fresh && status.version == Version(1))
            .await;
    }
    Fleet { _turn: turn, hosts }
}

/// Six targets of the keyed service, two in each zone, known to every host.
async fn targets(hosts: &Hosts, ledger: &Arc<Ledger>) -> Vec<StandIn> {
    let targets = hosts.targets(6, ledger, |_| {}).await;
    for place in 0..hosts.hosts.len() {
        hosts.until_owned(place, 6).await;
    }
    targets
}

fn window(builds_on: u64, seconds: u64) -> String {
    format!(
        "builds_on: {builds_on}\nchanged:\n  services:\n    payroll-core: {{repeat_window: \
         {seconds}s}}\n"
    )
}

fn zone_note(builds_on: u64, zone: &str, state: &str) -> String {
    format!("builds_on: {builds_on}\nchanged:\n  zones: {{{zone}: {state}}}\n")
}

fn accepted(answer: &NoteAnswer) -> Option<(u64, &str)> {
    match answer {
        NoteAnswer::Accepted {
            version, digest, ..
        } => Some((version.0, digest)),
        _ => None,
    }
}

fn everywhere(answer: &InForceAnswer) -> bool {
    answer.everywhere && answer.entries.iter().all(|entry| entry.in_force)
}

#[tokio::test(flavor = "multi_thread")]
async fn two_notes_at_one_version_have_one_winner_and_a_loser_that_is_told() {
    let fleet = fleet(3).await;
    let hosts = &fleet.hosts;
    let notes = [window(1, 11), window(1, 22)];

    let (one, other) = tokio::join!(hosts.decide(1, &notes[0]), hosts.decide(2, &notes[1]));
    let won = usize::from(accepted(&one).is_none());
    let (first, lost) = match won {
        0 => (&one, &other),
        _ => (&other, &one),
    };
    let resent = hosts.decide(0, &notes[won]).await;
    for number in 2..22 {
        let answer = hosts.decide(0, &window(number, number + 100)).await;
        assert!(accepted(&answer).is_some(), "{answer:?}");
    }
    let later = hosts.decide(2, &notes[won]).await;
    let lost_again = hosts.decide(0, &notes[1 - won]).await;

    let (version, digest) = accepted(first).expect("one is accepted");
    assert_eq!(version, 2);
    let NoteAnswer::Conflict {
        winner,
        differences,
    } = lost
    else {
        panic!("the other lost the race: {lost:?}");
    };
    assert_eq!(winner.version, Version(2));
    assert_eq!(winner.author, "anna");
    assert_eq!(winner.digest, digest);
    let lines = differences.join("\n");
    assert!(lines.contains("11s") && lines.contains("22s"), "{lines}");
    assert_eq!(&resent, first);
    assert_eq!(&later, first);
    assert_eq!(&lost_again, lost);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_note_whose_answer_was_lost_with_its_entry_is_accepted_once() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    for (round, delay) in [0, 2, 8].into_iter().enumerate() {
        let version = round as u64 + 1;
        let note = window(version, 30 + version);
        let next = (round + 1) % 3;

        // The entry dies while it has the note and before anybody reads its answer.
        let asking = hosts.note(round, &note);
        let _ = tokio::time::timeout(Duration::from_millis(delay), asking).await;
        hosts.kill(round);
        let answer = hosts.decide(next, &note).await;
        let status = hosts
            .until(next, |status| status.fresh && status.version.0 > version)
            .await;

        assert_eq!(accepted(&answer).map(|found| found.0), Some(version + 1));
        assert_eq!(status.version, Version(version + 1));
        hosts.spawn(round);
        hosts
            .until(round, |status| status.fresh && status.version.0 > version)
            .await;
    }
}

/// One request to one entry, without a retry.
async fn ask_once(hosts: &Hosts, place: usize, number: u64) -> http::Response<bytes::Bytes> {
    let address = hosts.hosts[place].addresses.callers;
    let call = view(number);
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("{}?nonce={number}&length=10", call.path))
        .header("host", address.to_string())
        .header(header::KEY, call.key)
        .header(header::DEADLINE_MS, "20000")
        .body(Full::default())
        .expect("a request");
    let answer = Client::default().send(address, request).await;
    answer.expect("an answer")
}

fn text<'a>(answer: &'a http::Response<bytes::Bytes>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

fn is_refused_as_stale(answer: &http::Response<bytes::Bytes>) -> bool {
    answer.status() == StatusCode::SERVICE_UNAVAILABLE
        && text(answer, header::OUTCOME) == "not-run"
        && text(answer, header::REASON) == "stale"
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_is_told_apart_and_never_serves_under_its_old_version() {
    let fleet = fleet(4).await;
    let hosts = &fleet.hosts;
    let ledger = Arc::new(Ledger::default());
    let targets = targets(hosts, &ledger).await;
    let number = Node(4);

    hosts.signal(3, "STOP");
    let start = Instant::now();
    let answer = hosts.decide(0, &zone_note(1, "c", "out")).await;
    let told = hosts
        .until_in_force(0, 2, |answer| {
            let frozen = answer.entries.iter().find(|entry| entry.entry == number);
            answer.everywhere && frozen.is_some_and(|entry| !entry.fresh)
        })
        .await;
    let took = start.elapsed();
    // Work that was queued before the note may still start until here.
    sleep(Duration::from_secs(1)).await;
    let after = std::time::Instant::now();
    let asking = async { tokio::join!(ask_once(hosts, 3, 1), ask_once(hosts, 3, 2)) };
    let resuming = async {
        sleep(Duration::from_millis(200)).await;
        hosts.signal(3, "CONT");
    };
    let ((one, other), ()) = tokio::join!(asking, resuming);
    hosts.until_in_force(1, 2, everywhere).await;

    assert!(accepted(&answer).is_some(), "{answer:?}");
    assert!(took < IN_FORCE, "{took:?}: {told:?}");
    let frozen = told.entries.iter().find(|entry| entry.entry == number);
    assert!(!frozen.expect("the entry").in_force);
    for answer in [one, other] {
        let served = answer.status() == StatusCode::OK;
        assert!(served || text(&answer, header::OUTCOME) == "not-run");
    }
    assert_eq!(runs_in_zone(&ledger, &targets, "c", after), 0);
}

/// Runs that the targets of a zone started after a moment.
fn runs_in_zone(
    ledger: &Ledger,
    targets: &[StandIn],
    zone: &str,
    after: std::time::Instant,
) -> usize {
    let inside = targets
        .iter()
        .filter(|target| target.settings().zone.as_str() == zone);
    let names: Vec<_> = inside.map(StandIn::name).collect();
    let runs = ledger.runs();
    let late = runs.iter().filter(|run| run.start > after);
    late.filter(|run| names.contains(&&run.target)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_version_is_never_lowered_by_restarts() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    let mut version = 1;
    for place in 0..3 {
        hosts
            .decide((place + 1) % 3, &window(version, 40 + version))
            .await;
        version += 1;
        hosts.kill(place);
        hosts.spawn(place);
        let status = hosts.until(place, |status| status.fresh).await;
        assert_eq!(status.version, Version(version), "at {place}");
    }
    for place in 0..3 {
        hosts.kill(place);
    }
    for place in 0..3 {
        hosts.spawn(place);
    }
    for place in 0..3 {
        let status = hosts.until(place, |status| status.fresh).await;
        assert_eq!(status.version, Version(version), "at {place}");
    }
    hosts.until_in_force(0, version, everywhere).await;
}

async fn send(caller: &Caller, first: u64, count: u64) {
    for number in first..first + count {
        caller.send(&view(number)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_out_while_the_leader_is_killed_gets_no_new_work_until_it_is_in() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    let ledger = Arc::new(Ledger::default());
    let targets = targets(hosts, &ledger).await;
    let leader = hosts
        .until(0, |status| status.leader.is_some())
        .await
        .leader;
    let leader = leader.expect("a leader").0 as usize - 1;
    let (left, out) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = zone(Node(out as u64 + 1));
    let note = zone_note(1, &name, "out");

    // The leader dies while it has the note and before anybody reads its answer.
    let asking = hosts.note(left, &note);
    let _ = tokio::time::timeout(Duration::from_millis(2), asking).await;
    hosts.kill(leader);
    let start = Instant::now();
    let answer = hosts.decide(left, &note).await;
    hosts
        .until_in_force(left, 2, |answer| answer.everywhere)
        .await;
    // Work that was queued before the note may still start until here.
    sleep(Duration::from_secs(1)).await;
    let after = std::time::Instant::now();
    let took = start.elapsed();
    let caller = hosts.caller(DEADLINE);
    send(&caller, 0, 200).await;
    let in_zone = runs_in_zone(&ledger, &targets, &name, after);
    hosts.spawn(leader);
    let kept = hosts.until(leader, |status| status.fresh).await;
    let back = hosts.decide(leader, &zone_note(2, &name, "in")).await;
    let returned = Instant::now();
    let mut first = 1_000;
    while runs_in_zone(&ledger, &targets, &name, after) == 0 {
        assert!(
            returned.elapsed() < Duration::from_secs(30),
            "no work returned"
        );
        send(&caller, first, 50).await;
        first += 50;
    }

    assert_eq!(accepted(&answer).map(|found| found.0), Some(2));
    assert!(took < IN_FORCE + Duration::from_secs(1), "{took:?}");
    assert_eq!(in_zone, 0, "a zone that is out got work");
    assert_eq!(kept.version, Version(2));
    assert_eq!(accepted(&back).map(|found| found.0), Some(3));
    assert_eq!(caller.tally().wrong, 0);
    assert_eq!(ledger.overlapping_grants(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_cut_off_from_the_others_refuses_at_once_until_they_are_back() {
    let fleet = fleet(3).await;
    let hosts = &fleet.hosts;
    let ledger = Arc::new(Ledger::default());
    let _targets = targets(hosts, &ledger).await;

    hosts.signal(1, "STOP");
    hosts.signal(2, "STOP");
    let start = Instant::now();
    let mut number = 0;
    let refused = loop {
        number += 1;
        let asked = Instant::now();
        let answer = ask_once(hosts, 0, number).await;
        if is_refused_as_stale(&answer) {
            break (answer, asked.elapsed());
        }
        assert!(start.elapsed() < IN_FORCE, "still not stale: {answer:?}");
        sleep(PAUSE).await;
    };
    let status = hosts.status(0).await.expect("a status");
    let before = ledger.runs().len();
    let again = ask_once(hosts, 0, 10_000).await;
    let ran = ledger.runs().len() - before;
    hosts.signal(1, "CONT");
    hosts.signal(2, "CONT");
    hosts.until_owned(0, 6).await;
    let caller = hosts.caller(DEADLINE);
    send(&caller, 20_000, 60).await;

    let (answer, took) = refused;
    assert!(!status.fresh);
    assert!(!text(&answer, "retry-after").is_empty(), "{answer:?}");
    assert!(!text(&answer, header::RETRY_MS).is_empty(), "{answer:?}");
    // The request had 20 s.
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(is_refused_as_stale(&again), "{again:?}");
    assert_eq!(ran, 0);
    assert_eq!(caller.tally().answered, 60, "{:?}", caller.tally());
    assert_eq!(ledger.overlapping_grants(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_while_ranges_move_drains_without_a_cut() {
    let fleet = fleet(3).await;
    let hosts = &fleet.hosts;
    let ledger = Arc::new(Ledger::default());
    let targets = targets(hosts, &ledger).await;
    let caller = Arc::new(hosts.caller(DEADLINE));
    let sending = {
        let caller = caller.clone();
        tokio::spawn(async move {
            let mut running = tokio::task::JoinSet::new();
            for number in 0..300 {
                let caller = caller.clone();
                running.spawn(async move { caller.send(&view(number)).await });
                sleep(Duration::from_millis(8)).await;
            }
            while running.join_next().await.is_some() {}
        })
    };
    sleep(Duration::from_millis(500)).await;

    // The zone's leaving sets ranges on the move, to the target that leaves among others.
    let answer = hosts.decide(0, &zone_note(1, "c", "out")).await;
    let left = targets[0].leave().await;
    sending.await.expect("all are sent");
    // It serves no more; two more are out with their zone.
    hosts
        .until(1, |status| {
            let gone = |name: &str| {
                let mut all = status.targets.iter();
                all.all(|target| target.target.as_str() != name || target.ranges == 0)
            };
            gone("worker-0") && gone("worker-2") && gone("worker-5")
        })
        .await;
    let after = std::time::Instant::now();
    send(&caller, 10_000, 60).await;

    assert!(accepted(&answer).is_some());
    assert!(left, "it is told that it may go");
    let tally = caller.tally();
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
    let runs = ledger.runs();
    let name = targets[0].name();
    assert!(
        !runs
            .iter()
            .any(|run| run.target == *name && run.start > after)
    );
    assert_eq!(ledger.overlapping_grants(), []);
    assert_eq!(ledger.overlapping_runs(&Service::from("payroll-core")), 0);
}

/// Prints what MEASURES.md holds under `Operators' intent and the leader`.
#[tokio::test(flavor = "multi_thread")]
async fn notes_and_leader_loss_are_measured() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    let mut version = 1;
    for run in 1..=3 {
        let start = Instant::now();
        hosts.apply(0, &window(version, version + 200)).await;
        let accepted = start.elapsed();
        version += 1;
        while !hosts
            .in_force(0, version)
            .await
            .is_some_and(|a| everywhere(&a))
        {
            assert!(start.elapsed() < IN_FORCE, "not in force everywhere");
            sleep(Duration::from_millis(2)).await;
        }
        let everywhere = start.elapsed();
        println!(
            "run {run}: accepted after {accepted:?}, in force everywhere after {everywhere:?}"
        );
    }
    for run in 1..=3 {
        let known = hosts.until(0, |status| status.leader.is_some()).await;
        let leader = known.leader.expect("a leader").0 as usize - 1;
        let other = (leader + 1) % 3;
        let note = window(version, version + 200);
        hosts.kill(leader);
        let start = Instant::now();
        hosts.apply(other, &note).await;
        println!(
            "run {run}: next change {:?} after the leader's loss",
            start.elapsed()
        );
        version += 1;
        hosts.spawn(leader);
        for place in 0..3 {
            hosts
                .until(place, |status| status.fresh && status.version.0 == version)
                .await;
        }
    }
}
