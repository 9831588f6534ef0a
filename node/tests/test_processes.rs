//! The whole path in separate processes, under kills, freezes and shutdowns.

use crate::hosts::{Hosts, TURN, first_note, payment, view};
use cornelrail_lib::{name::Service, process::operator_api::StatusAnswer};
use cornelrail_testutils::{
    caller::{Caller, Tally},
    ledger::Ledger,
    target::StandIn,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{
    sync::MutexGuard,
    time::{Instant, sleep},
};

const DEADLINE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(8);

struct Fleet {
    _turn: MutexGuard<'static, ()>,
    hosts: Hosts,
    ledger: Arc<Ledger>,
    targets: Vec<StandIn>,
}

/// Three hosts that vote and six targets that own all ranges; these may still be evened out.
async fn fleet(voters: u64) -> Fleet {
    let turn = TURN.lock().await;
    let hosts = Hosts::start(3, voters);
    hosts.apply(0, &first_note(3)).await;
    let ledger = Arc::new(Ledger::default());
    let targets = hosts.targets(6, &ledger, |_| {}).await;
    for place in 0..3 {
        hosts.until_owned(place, 6).await;
    }
    Fleet {
        _turn: turn,
        hosts,
        ledger,
        targets,
    }
}

/// Sends `count` requests, a tenth of them payments, `PAUSE` apart.
fn send(caller: &Arc<Caller>, first: u64, count: u64) -> tokio::task::JoinHandle<()> {
    let caller = caller.clone();
    tokio::spawn(async move {
        let mut running = tokio::task::JoinSet::new();
        for number in first..first + count {
            let caller = caller.clone();
            running.spawn(async move {
                let call = match number % 10 {
                    0 => payment(number),
                    _ => view(number),
                };
                caller.send(&call).await;
            });
            sleep(PAUSE).await;
        }
        while running.join_next().await.is_some() {}
    })
}

fn assert_true_outcomes(fleet: &Fleet, tally: &Tally) {
    let ended = tally.answered + tally.not_run + tally.unknown + tally.wrong;
    assert_eq!(
        tally.sent, ended,
        "every request has one outcome: {tally:?}"
    );
    assert_eq!(tally.wrong, 0, "{tally:?}");
    assert_eq!(fleet.ledger.run_twice(), 0);
    let service = Service::from("payroll-core");
    assert_eq!(fleet.ledger.overlapping_runs(&service), 0);
    assert_eq!(fleet.ledger.overlapping_grants(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_in_the_middle_costs_no_wrong_answer_and_no_double_run() {
    let mut fleet = fleet(3).await;
    let caller = Arc::new(fleet.hosts.caller(DEADLINE));
    let sending = send(&caller, 0, 400);
    sleep(Duration::from_millis(1_200)).await;
    fleet.hosts.kill(1);
    sending.await.expect("all are sent");
    assert_true_outcomes(&fleet, &caller.tally());
    let after = Arc::new(fleet.hosts.caller(DEADLINE));
    send(&after, 1_000, 100).await.expect("all are sent");
    let tally = after.tally();
    let logs = fleet.hosts.logs();
    assert_eq!(
        tally.answered, 100,
        "the other two serve everything: {logs}\n{tally:?}"
    );
}

fn owners(status: &StatusAnswer) -> Vec<String> {
    let targets = status.targets.iter();
    targets
        .map(|target| format!("{} {} {:?}", target.target, target.ranges, target.phase))
        .collect()
}

/// Waits until ranges have not moved for many intervals of the assigner.
async fn settled(hosts: &Hosts, targets: u32) -> StatusAnswer {
    let mut status = hosts.until_owned(0, targets).await;
    loop {
        sleep(Duration::from_secs(2)).await;
        let later = hosts.until_owned(0, targets).await;
        if owners(&later) == owners(&status) {
            return later;
        }
        status = later;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_one_voter_killed_and_restarted_has_the_same_grants_and_new_fences() {
    let mut fleet = fleet(1).await;
    let before = settled(&fleet.hosts, 6).await;
    let fences_before = fleet.ledger.fences();
    fleet.hosts.kill(0);
    fleet.hosts.spawn(0);
    let after = fleet.hosts.until_owned(0, 6).await;
    assert!(after.index >= before.index);
    assert_eq!(owners(&before), owners(&after), "{}", fleet.hosts.log(0));
    fleet.targets[0].kill().await;
    fleet.hosts.until_owned(0, 5).await;
    sleep(Duration::from_millis(300)).await;
    let fences_after = fleet.ledger.fences();
    let fresh: BTreeSet<_> = fences_after.difference(&fences_before).collect();
    assert!(
        !fresh.is_empty(),
        "the lost target's ranges were granted anew"
    );
    let highest = fences_before.iter().max();
    assert!(fresh.iter().all(|fence| Some(**fence) > highest.copied()));
    assert_eq!(fleet.ledger.overlapping_grants(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_that_resumes_does_no_harm() {
    let fleet = fleet(3).await;
    let caller = Arc::new(fleet.hosts.caller(DEADLINE));
    let sending = send(&caller, 0, 500);
    sleep(Duration::from_millis(800)).await;
    fleet.hosts.signal(2, "STOP");
    sleep(Duration::from_millis(2_000)).await;
    fleet.hosts.signal(2, "CONT");
    sending.await.expect("all are sent");
    assert_true_outcomes(&fleet, &caller.tally());
    fleet.hosts.until_owned(2, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_under_load_cuts_off_no_request() {
    let mut fleet = fleet(3).await;
    let caller = Arc::new(fleet.hosts.caller(DEADLINE));
    let sending = send(&caller, 0, 500);
    sleep(Duration::from_millis(1_000)).await;
    fleet.hosts.signal(0, "TERM");
    let start = Instant::now();
    let well = tokio::task::block_in_place(|| fleet.hosts.wait(0));
    assert!(well, "{}", fleet.hosts.log(0));
    assert!(start.elapsed() < Duration::from_secs(20));
    sending.await.expect("all are sent");
    let tally = caller.tally();
    assert_true_outcomes(&fleet, &tally);
    assert_eq!(tally.unknown, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_comes_after_its_caller_left_reaches_nobody() {
    let fleet = fleet(3).await;
    for target in &fleet.targets {
        target.delay_next(2, Duration::from_millis(600));
    }
    let hasty = Arc::new(fleet.hosts.caller(Duration::from_millis(200)));
    send(&hasty, 0, 20).await.expect("all are sent");
    let caller = Arc::new(fleet.hosts.caller(DEADLINE));
    send(&caller, 1_000, 100).await.expect("all are sent");
    assert_true_outcomes(&fleet, &hasty.tally());
    assert_true_outcomes(&fleet, &caller.tally());
    let tally = caller.tally();
    let logs = fleet.hosts.logs();
    assert_eq!(tally.answered, 100, "{logs}\n{tally:?}");
}
