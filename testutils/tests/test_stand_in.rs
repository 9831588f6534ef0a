//! The stand-in and the caller against each other, without an entry between them.

use cornelrail_lib::name::Node;
use cornelrail_testutils::{
    caller::{Call, Caller, CallerSettings, Outcome},
    ledger::Ledger,
    target::{Checks, ColdStart, StandIn, TargetSettings},
    tls, workload,
};
use std::{sync::Arc, time::Duration};

fn trusting(name: &str) -> TargetSettings {
    TargetSettings {
        checks: Checks::Trusting,
        ..TargetSettings::new(name, "payroll-core", "ams-a")
    }
}

fn caller(target: &StandIn, deadline: Duration) -> Caller {
    Caller::new(CallerSettings {
        entries: vec![target.address()],
        latency: Duration::ZERO,
        deadline,
        retry: false,
    })
}

fn view(nonce: u64) -> Call {
    workload::kindloon().view(format!("family-{nonce}"), nonce)
}

async fn start(settings: TargetSettings) -> (StandIn, Arc<Ledger>) {
    let ledger = Arc::new(Ledger::default());
    let target = StandIn::start(settings, Arc::clone(&ledger)).await;
    (target.expect("a free port"), ledger)
}

#[tokio::test]
async fn faults_show_in_the_outcome() {
    let (target, ledger) = start(trusting("core-1")).await;
    let deadline = Duration::from_millis(500);
    let first = caller(&target, deadline);

    let whole = first.send(&view(1)).await;
    target.truncate_next(1);
    let truncated = first.send(&view(2)).await;
    target.delay_next(1, Duration::from_secs(5));
    let late = first.send(&view(3)).await;
    target.freeze();
    let frozen = first.send(&view(4)).await;
    target.resume();
    target.kill().await;
    let killed = caller(&target, deadline).send(&view(5)).await;
    target.restart().await.expect("a free port");
    let restarted = caller(&target, deadline).send(&view(6)).await;

    let unknown = Outcome::Unknown;
    assert_eq!(
        [whole, truncated, late],
        [Outcome::Answered, unknown, unknown]
    );
    assert_eq!([frozen, killed], [unknown, Outcome::NotRun]);
    assert_eq!(restarted, Outcome::Answered);
    assert_eq!(target.incarnation().0, 2);
    let runs = [1, 2, 3, 5, 6].map(|nonce| ledger.runs_of(nonce));
    assert_eq!(runs, [1, 1, 1, 0, 1]);
}

#[tokio::test]
async fn checking_target_refuses_work_without_a_lease() {
    let settings = TargetSettings::new("core-1", "payroll-core", "ams-a");
    let (target, ledger) = start(settings).await;

    let outcome = caller(&target, Duration::from_secs(2)).send(&view(1)).await;

    assert_eq!(outcome, Outcome::NotRun);
    assert_eq!(ledger.runs_of(1), 0);
}

#[tokio::test]
async fn cold_target_counts_what_it_cannot_bear() {
    let cold = Some(ColdStart {
        requests: 8,
        factor: 2.0,
    });
    let (target, ledger) = start(TargetSettings {
        cold,
        ..trusting("core-1")
    })
    .await;
    let first = caller(&target, Duration::from_secs(5));

    for nonce in 1..=8 {
        first.send(&view(nonce)).await;
    }
    let gentle = ledger.over_bearable();
    target.restart().await.expect("a free port");
    let second = caller(&target, Duration::from_secs(5));
    let (one, other) = (view(9), view(10));
    tokio::join!(second.send(&one), second.send(&other));

    assert_eq!(gentle, 0);
    assert_eq!(ledger.over_bearable(), 1);
}

#[tokio::test]
async fn poison_ends_the_life_and_the_platform_starts_the_next() {
    let revive = Some(Duration::from_millis(20));
    let (target, _) = start(TargetSettings {
        revive,
        ..trusting("core-1")
    })
    .await;
    let caller = caller(&target, Duration::from_secs(2));
    let mut poison = view(1);
    poison.path = "/payroll-core/poison".to_owned();

    let outcome = caller.send(&poison).await;
    while target.incarnation().0 < 2 || !target.alive() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(caller.send(&view(2)).await, Outcome::Answered);
}

#[test]
fn keys_of_a_fleet_are_written() {
    let folder = std::env::temp_dir().join(format!("cornelrail-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");

    let files = tls::make(&folder, &[Node(1), Node(2)]).expect("keys");

    assert!(
        files
            .iter()
            .all(|tls| tls.certificate.exists() && tls.key.exists())
    );
    std::fs::remove_dir_all(&folder).expect("the folder");
}
