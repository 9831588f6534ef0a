//! Requests that end targets, sent again after all processes of a fleet were killed at once.

use crate::{
    seeded::{CORES, Hosts, send},
    test_crashing::{Targets, ask},
    test_seeded::{PATIENCE, host, order},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const ENTRIES: usize = 2;
const TARGETS: usize = 5;
/// Time until a target that has ended is back.
const BACK_AFTER: Duration = Duration::from_millis(400);
/// Time for which the request comes after a start.
const COMES: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(50);

struct Fleet {
    hosts: Hosts,
    targets: Targets,
}

impl Fleet {
    async fn start() -> Fleet {
        let hosts = Hosts::start(ENTRIES);
        let control = hosts.controls[0];
        let targets = Targets::start(&host(), control, TARGETS, BACK_AFTER).await;
        let (status, _) = send(control, "config.patch", &order(7, "2000ms")).await;
        assert_eq!(status, 200);
        let fleet = Fleet { hosts, targets };
        fleet.until_served().await;
        fleet
    }

    async fn until_served(&self) {
        let start = Instant::now();
        for callers in &self.hosts.callers {
            while ask(*callers, "/r/up", "up").await.0 != 200 {
                assert!(start.elapsed() < PATIENCE, "{callers} serves nothing");
                sleep(PAUSE).await;
            }
        }
    }

    /// Ends all processes at the same moment and starts them again.
    async fn kill_all(&mut self) {
        let places = 0..CORES + ENTRIES;
        places.clone().for_each(|place| self.hosts.kill(place));
        places.for_each(|place| self.hosts.spawn(place));
        self.until_served().await;
    }

    /// Targets that have ended under the request.
    fn ended(&self) -> usize {
        self.targets.ends.lock().expect("whole").len()
    }

    /// Sends the request to all entries by turns until the condition holds or the time is over.
    async fn repeat(&self, until: impl Fn(usize, &str) -> bool) {
        let begun = Instant::now();
        while begun.elapsed() < COMES {
            for callers in &self.hosts.callers {
                let (_, reply) = ask(*callers, "/r/crash", "crash").await;
                if until(self.ended(), &reply) {
                    return;
                }
            }
            sleep(PAUSE).await;
        }
    }
}

/// The quarantine of a request is lost with the memory of all processes.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_refused_ends_targets_again_after_all_processes_were_killed() {
    let mut fleet = Fleet::start().await;
    fleet.repeat(|_, reply| reply.contains("quarantined")).await;
    let refused = fleet.ended();
    // The leader commits what it refuses at once, though no caller waits for it.
    sleep(PAUSE * 10).await;

    for _ in 0..2 {
        fleet.kill_all().await;
        fleet.repeat(|_, _| false).await;
    }

    assert!(refused >= 3, "only {refused} targets have ended");
    assert_eq!(fleet.ended(), refused);
}

/// What is known of two ended targets is lost, so that each start costs further ones.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_ended_before_all_processes_were_killed_count_for_nothing() {
    let mut fleet = Fleet::start().await;
    fleet.repeat(|ended, _| ended >= 2).await;
    assert_eq!(fleet.ended(), 2);
    // Their incarnations are replaced, which shows that they have ended.
    sleep(Duration::from_secs(2)).await;

    fleet.kill_all().await;
    fleet.repeat(|_, _| false).await;

    assert!(fleet.ended() <= 3, "{} targets have ended", fleet.ended());
}
