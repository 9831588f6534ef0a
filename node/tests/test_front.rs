//! Truthful answers of whole daemons: once-only requests, quarantine and overload.

use crate::hosts::{Fleet, Reply, ask, fleet, payment, view};
use cornelrail_testutils::caller::Call;
use http::Method;
use std::{collections::BTreeSet, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const DEADLINE: Duration = Duration::from_secs(5);

/// Payments sent at once through two entries.
const PAIRS: u64 = 10;

async fn pair(fleet: &Fleet, call: &Call) -> (Reply, Reply) {
    let callers = fleet.hosts.callers();
    let (first, second) = tokio::join!(
        ask(callers[0], call, DEADLINE),
        ask(callers[1], call, DEADLINE)
    );
    (first.expect("an answer"), second.expect("an answer"))
}

/// Sends until the request is answered or runs out of time.
async fn settled(fleet: &Fleet, place: usize, call: &Call) -> Reply {
    let address = fleet.hosts.callers()[place];
    let start = Instant::now();
    loop {
        let reply = ask(address, call, DEADLINE).await.expect("an answer");
        if reply.outcome == "answered" || start.elapsed() > DEADLINE {
            return reply;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_identity_through_two_entries_runs_once_and_a_resend_gets_its_answer() {
    let fleet = fleet(|_| {}).await;
    for number in 0..PAIRS {
        let call = payment(number);
        let (first, second) = pair(&fleet, &call).await;
        for reply in [&first, &second] {
            match reply.outcome.as_str() {
                "answered" => {}
                "unknown" => assert_eq!(reply.reason, "repeated", "{reply:?}"),
                _ => assert_eq!(reply.outcome, "not-run", "{reply:?}"),
            }
        }
        let resent = settled(&fleet, 2, &call).await;
        assert_eq!(resent.outcome, "answered", "{resent:?}");
        for reply in [&first, &second] {
            assert!(reply.outcome != "answered" || reply.body == resent.body);
        }
        assert_eq!(fleet.ledger.runs_of(number), 1, "{first:?} {second:?}");
    }
    assert_eq!(fleet.ledger.run_twice(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_presses_without_an_identity_count_as_one() {
    let fleet = fleet(|_| {}).await;
    let call = Call {
        identity: None,
        ..payment(1)
    };
    let first = settled(&fleet, 0, &call).await;
    let second = settled(&fleet, 1, &call).await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    assert_eq!(second.outcome, "answered", "{second:?}");
    assert_eq!(first.body, second.body, "{first:?} {second:?}");
    assert_eq!(fleet.ledger.runs_of(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_the_home_was_killed_never_runs_twice() {
    let mut fleet = fleet(|_| {}).await;
    let call = payment(7);
    let home = fleet.home_of(&call.key).await;
    let via = (home + 1) % 3;
    for target in &fleet.targets {
        target.delay_next(1, Duration::from_secs(3));
    }
    let address = fleet.hosts.callers()[via];
    let sent = call.clone();
    let sending = tokio::spawn(async move { ask(address, &sent, DEADLINE).await });
    while fleet.ledger.runs_of(7) == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.hosts.kill(home);
    let first = sending.await.expect("it ends").expect("an answer");
    assert_eq!(first.outcome, "unknown", "{first:?}");
    assert_eq!(first.status, 504, "{first:?}");
    let resent = ask(address, &call, DEADLINE).await.expect("an answer");
    assert_eq!(resent.outcome, "unknown", "{resent:?}");
    assert!([409, 504].contains(&resent.status), "{resent:?}");
    assert_eq!(fleet.ledger.runs_of(7), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_refused_everywhere_and_others_are_served() {
    let fleet = fleet(|settings| settings.revive = Some(Duration::from_millis(100))).await;
    let poison = Call {
        path: "/payroll-core/poison".to_owned(),
        ..view(3)
    };
    let mut crashes = 0;
    let start = Instant::now();
    for place in (0..3).cycle() {
        let address = fleet.hosts.callers()[place];
        let reply = ask(address, &poison, DEADLINE).await.expect("an answer");
        if reply.status == 422 {
            break;
        }
        crashes += 1;
        assert!(start.elapsed() < DEADLINE * 4, "{reply:?}");
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let runs = fleet.ledger.runs().len();
    for address in fleet.hosts.callers() {
        let reply = ask(address, &poison, DEADLINE).await.expect("an answer");
        assert_eq!(reply.status, 422, "{reply:?} after {crashes}");
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
        assert_eq!(reply.reason, "quarantined", "{reply:?}");
    }
    assert_eq!(fleet.ledger.runs().len(), runs, "no further run");
    for number in 10..40 {
        let reply = settled(&fleet, (number % 3) as usize, &view(number)).await;
        assert_eq!(reply.outcome, "answered", "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn beyond_capacity_refusals_say_when_to_come_back_and_nothing_ran() {
    let fleet = fleet(|settings| {
        settings.slots = 2;
        settings.median = Duration::from_millis(40);
    })
    .await;
    // Six targets of two slots serve 300 a second: each slot 25.
    let (pause, count) = (Duration::from_micros(2_222), 1_350);
    let mut running = JoinSet::new();
    let start = Instant::now();
    for number in 0..count {
        let address = fleet.hosts.callers()[(number % 3) as usize];
        running.spawn(async move {
            let sent = Instant::now();
            let reply = ask(address, &view(number), DEADLINE / 5).await;
            (reply, sent.elapsed())
        });
        sleep((start + pause * number as u32).saturating_duration_since(Instant::now())).await;
    }
    let replies = running.join_all().await;
    let mut answered = 0;
    let mut reasons = BTreeSet::new();
    let mut waits = Vec::new();
    for (reply, wait) in &replies {
        let reply = reply.as_ref().expect("an answer");
        match reply.outcome.as_str() {
            "answered" => answered += 1,
            _ => {
                assert!(reply.retry.is_some() && reply.after.is_some(), "{reply:?}");
                reasons.insert(reply.reason.clone());
                waits.push(*wait);
                assert_eq!(reply.outcome, "not-run", "{reply:?}");
            }
        }
    }
    let rate = f64::from(answered) / start.elapsed().as_secs_f64();
    println!("{rate:.0} answered a second of 300");
    waits.sort();
    let median = waits[waits.len() / 2];
    println!("half of {} refusals came within {median:?}", waits.len());
    assert!(median < DEADLINE / 10, "{median:?}");
    assert!(reasons.contains("overload"), "{reasons:?}");
    assert!(
        rate > 300.0 * 0.7,
        "{rate} answered a second of 300, {reasons:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_left_shrinks_hop_by_hop() {
    let fleet = fleet(|_| {}).await;
    let late = Call {
        method: Method::GET,
        ..view(5)
    };
    for address in fleet.hosts.callers() {
        let reply = ask(address, &late, Duration::from_millis(900)).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.outcome, "answered", "{reply:?}");
    }
    let runs = fleet.ledger.runs();
    let lefts: Vec<Option<Duration>> = runs.iter().map(|run| run.left).collect();
    for left in lefts {
        let left = left.expect("a deadline");
        assert!(left < Duration::from_millis(900) && left > Duration::ZERO);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_at_the_deadline_take_up_no_slot() {
    let fleet = fleet(|settings| settings.slots = 1).await;
    for target in &fleet.targets {
        target.delay_next(20, Duration::from_millis(400));
    }
    let limit = Duration::from_millis(150);
    let mut hasty = JoinSet::new();
    for number in 0..120 {
        let address = fleet.hosts.callers()[(number % 3) as usize];
        hasty.spawn(async move {
            let call = view(number);
            // It leaves at the moment at which the entries give the request up.
            let _ = tokio::time::timeout(limit, ask(address, &call, limit)).await;
        });
        sleep(Duration::from_millis(10)).await;
    }
    hasty.join_all().await;
    for target in &fleet.targets {
        target.delay_next(0, Duration::ZERO);
    }
    for number in 200..260 {
        let reply = settled(&fleet, (number % 3) as usize, &view(number)).await;
        assert_eq!(reply.outcome, "answered", "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_while_its_target_gets_another_home_is_answered() {
    let mut fleet = fleet(|_| {}).await;
    let call = payment(8);
    let home = fleet.home_of(&call.key).await;
    let address = fleet.hosts.callers()[(home + 1) % 3];
    for target in &fleet.targets {
        target.delay_next(1, Duration::from_millis(1_500));
    }
    let sent = call.clone();
    let sending = tokio::spawn(async move { ask(address, &sent, DEADLINE).await });
    while fleet.ledger.runs_of(8) == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    fleet.hosts.signal(home, "TERM");
    let reply = sending.await.expect("it ends").expect("an answer");
    assert_eq!(reply.outcome, "answered", "{reply:?}");
    assert_eq!(fleet.ledger.runs_of(8), 1);
    assert!(tokio::task::block_in_place(|| fleet.hosts.wait(home)));
}
