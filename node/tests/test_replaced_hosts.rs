//! Core hosts, each a process of its own, that are replaced by empty ones at other addresses.

use crate::{
    seeded::{Hosts, send},
    test_seeded::{call, order},
};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, timeout};

const CORE_HOSTS: usize = 5;
/// Disks that the fleet may lose at a time.
const LOSSES: usize = 2;
/// Time that a successor is given to catch up.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time in which the fleet has to serve again once all hosts are back.
const RECOVERY: Duration = Duration::from_secs(15);

struct Fleet {
    hosts: Hosts,
    /// Places of the hosts that are not gone for good.
    present: Vec<usize>,
    version: u32,
}

impl Fleet {
    async fn start() -> Fleet {
        let mut fleet = Fleet {
            hosts: Hosts::with_cores(CORE_HOSTS, 0),
            present: (0..CORE_HOSTS).collect(),
            version: 1,
        };
        // All hosts vote by then.
        sleep(Duration::from_secs(3)).await;
        fleet.change().await;
        fleet
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let present = self.present.iter().take(3);
        present.map(|place| self.hosts.controls[*place]).collect()
    }

    /// Sends a change to one host after the other until it is acknowledged.
    async fn change(&mut self) {
        self.version += 1;
        let (begun, order) = (Instant::now(), order(self.version, "2000ms"));
        for number in 0.. {
            let place = self.present[number % self.present.len()];
            let control = self.hosts.controls[place];
            let sent = timeout(
                Duration::from_secs(1),
                call(control, "config.patch", &order),
            );
            if let Ok(Some((200, _))) = sent.await {
                return;
            }
            assert!(begun.elapsed() < RECOVERY, "no change is acknowledged");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Loses two hosts for good and starts their successors some time later each.
    async fn replace_two(&mut self, successors: [Duration; 2]) {
        for place in self.present.drain(..LOSSES) {
            self.hosts.kill(place);
        }
        let begun = Instant::now();
        for after in successors {
            sleep(after.saturating_sub(begun.elapsed())).await;
            let seeds = self.seeds();
            let place = self.hosts.replace_core(&seeds, LOSSES);
            self.present.push(place);
        }
    }

    /// Ends all processes, empties two disks and starts all again.
    fn lose_power_and_disks(&mut self) {
        self.present
            .iter()
            .for_each(|place| self.hosts.kill(*place));
        for place in &self.present[1..=LOSSES] {
            self.hosts.wipe(*place);
        }
        self.present
            .iter()
            .for_each(|place| self.hosts.spawn(*place));
    }

    async fn check_read_back(&self) {
        let place = self.present[0];
        let (status, items) = send(self.hosts.controls[place], "config.get", &Value::Null).await;
        let found = items["routes"]["r"]["version"].as_str();
        assert_eq!(
            (status, found),
            (200, Some(&*format!("{:08x}", self.version)))
        );
    }
}

/// Two disks that are lost after two hosts were replaced are a majority for good.
#[tokio::test(flavor = "multi_thread")]
async fn what_was_acknowledged_is_lost_with_two_disks_after_two_hosts_were_replaced() {
    let mut fleet = Fleet::start().await;

    fleet
        .replace_two([300, 600].map(Duration::from_millis))
        .await;
    sleep(CATCH_UP).await;
    fleet.change().await;
    fleet.lose_power_and_disks();

    fleet.check_read_back().await;
    fleet.change().await;
}

/// The first pair of hosts is still among the voters when the second one is lost.
#[tokio::test(flavor = "multi_thread")]
async fn no_change_is_acknowledged_after_two_pairs_of_hosts_were_replaced() {
    let mut fleet = Fleet::start().await;

    for _ in 0..2 {
        fleet
            .replace_two([300, 1_000].map(Duration::from_millis))
            .await;
        sleep(CATCH_UP).await;
    }

    fleet.change().await;
    fleet.lose_power_and_disks();
    fleet.check_read_back().await;
}
