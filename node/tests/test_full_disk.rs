//! Core hosts whose disk has no room for a while, or takes bytes without an end.

use crate::test_seeded::{PATIENCE, call, host, order, settings};
use cornelrail_node::process::core::{self, CoreHandle};
use cornelrail_testutils::ports;
use std::{fs, net::SocketAddr, os::unix::fs::symlink, path::Path, time::Duration};
use tempfile::TempDir;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Time in which a core host would have started with room on its disk.
const LONG_ENOUGH: Duration = Duration::from_secs(1);

/// Starts a core host with this data folder; gives its control address too.
fn start(data: &Path) -> (SocketAddr, JoinHandle<CoreHandle>) {
    let host = host();
    let control = SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let listen = format!("control: \"{control}\"");
    let settings = settings("core", &host, ports::next_port(), &listen, data);
    let starting = tokio::spawn(async { core::start(settings).await.expect("a core host") });
    (control, starting)
}

async fn until_acknowledged(control: SocketAddr) {
    let start = Instant::now();
    while call(control, "config.patch", &order(7, "2000ms"))
        .await
        .is_none_or(|(status, _)| status != 200)
    {
        assert!(start.elapsed() < PATIENCE, "no order is acknowledged");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_core_host_whose_disk_is_full_at_its_start_ends_or_never_starts() {
    let folder = TempDir::new().expect("a folder");
    let data = folder.path().join("core");
    fs::create_dir(&data).expect("created");
    // The first file that a new folder gets is written here, and each write fails for want of room.
    let full = data.join("owner.tmp");
    symlink("/dev/full", &full).expect("linked");
    let (control, starting) = start(&data);

    sleep(LONG_ENOUGH).await;
    let is_waiting = !starting.is_finished();
    let order = order(7, "2000ms");
    let early = timeout(LONG_ENOUGH, call(control, "config.patch", &order)).await;
    fs::remove_file(&full).expect("removed");
    let started = timeout(PATIENCE, starting).await;

    assert!(is_waiting, "it started or ended without a folder");
    assert_eq!(early, Ok(None), "it lets others wait for its disk");
    let _core = started.expect("it never starts").expect("it ended");
    until_acknowledged(control).await;
}
