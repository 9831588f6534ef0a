//! Voters in separate processes: emptied disks, torn and damaged logs, long absence, strangers.

use crate::hosts::{Hosts, TURN, first_note};
use cornelrail_lib::{
    name::{Node, Version},
    process::operator_api::NoteAnswer,
};
use cornelrail_testutils::tls;
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::{sync::MutexGuard, time::sleep};

struct Fleet {
    _turn: MutexGuard<'static, ()>,
    hosts: Hosts,
}

/// Hosts of which three vote, with the first note in force.
async fn fleet(count: u64) -> Fleet {
    let turn = TURN.lock().await;
    let hosts = Hosts::start(count, 3);
    hosts.apply(0, &first_note(3)).await;
    for place in 0..count as usize {
        until_version(&hosts, place, 1).await;
    }
    Fleet { _turn: turn, hosts }
}

async fn until_version(hosts: &Hosts, place: usize, version: u64) {
    let wanted = Version(version);
    hosts
        .until(place, |status| status.fresh && status.version == wanted)
        .await;
}

fn window(builds_on: u64) -> String {
    let seconds = builds_on + 100;
    format!(
        "builds_on: {builds_on}\nchanged:\n  services:\n    payroll-core: {{repeat_window: \
         {seconds}s}}\n"
    )
}

/// Has notes accepted from version `from` up to version `to`.
async fn grow(hosts: &Hosts, place: usize, from: u64, to: u64) {
    for version in from..to {
        let answer = hosts.decide(place, &window(version)).await;
        assert!(matches!(answer, NoteAnswer::Accepted { .. }), "{answer:?}");
    }
}

/// The last segment of a log.
fn last_segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).expect("a folder");
    let names = files.map(|file| file.expect("a file").path());
    let segments = names.filter(|path| {
        let name = path.file_name().expect("a name").to_string_lossy();
        name.starts_with("log-")
    });
    segments.max().expect("a segment")
}

fn empty(folder: &Path) {
    fs::remove_dir_all(folder).expect("the folder goes");
    fs::create_dir(folder).expect("a new folder");
}

/// The voters that a line of CR0013 names, by node.
fn voters_of(line: &str) -> Vec<&str> {
    let list = line.split("voters=").nth(1).expect("voters");
    let list = list.split(' ').next().expect("a list");
    list.split(',').collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_voter_with_an_emptied_disk_learns_votes_again_and_a_second_may_go() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    grow(hosts, 0, 1, 5).await;

    hosts.kill(2);
    empty(&hosts.data(2));
    hosts.spawn(2);
    let learned = hosts.until_logged(2, |line| line.contains("CR0055")).await;
    let member = learned
        .split("member=")
        .nth(1)
        .expect("a member")
        .to_owned();
    let promoted = hosts
        .until_logged(2, |line| {
            line.contains("CR0013") && voters_of(line).contains(&member.as_str())
        })
        .await;
    until_version(hosts, 2, 5).await;
    hosts.kill(0);
    grow(hosts, 1, 5, 8).await;
    until_version(hosts, 2, 8).await;
    let first = hosts.decide(2, &window(1)).await;

    assert_eq!(voters_of(&promoted).len(), 3, "{promoted}");
    assert!(
        matches!(first, NoteAnswer::Accepted { version, .. } if version == Version(2)),
        "{first:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_torn_tail_is_cut_and_a_flipped_bit_stops_only_its_voter() {
    let mut fleet = fleet(3).await;
    let hosts = &mut fleet.hosts;
    grow(hosts, 0, 1, 5).await;
    hosts.kill(1);
    let segment = last_segment(&hosts.data(1));
    let length = fs::metadata(&segment).expect("a segment").len();
    let file = File::options().write(true).open(&segment);
    file.and_then(|file| file.set_len(length - 5))
        .expect("a shorter segment");

    hosts.spawn(1);
    let torn = hosts.until_logged(1, |line| line.contains("CR0051")).await;
    until_version(hosts, 1, 5).await;
    grow(hosts, 1, 5, 7).await;
    hosts.kill(1);
    let segment = last_segment(&hosts.data(1));
    let mut bytes = fs::read(&segment).expect("a segment");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    fs::write(&segment, &bytes).expect("a damaged segment");
    let logged = hosts.log(1).len();
    hosts.spawn(1);
    let well = tokio::task::block_in_place(|| hosts.wait(1));
    let log = hosts.log(1);
    let said = &log[logged..];
    grow(hosts, 0, 7, 9).await;
    until_version(hosts, 2, 9).await;

    assert!(torn.contains("bytes="), "{torn}");
    assert!(!well);
    assert!(said.contains("E406"), "{said}");
    assert_eq!(said.matches("CR0050").count(), 1, "{said}");
    assert_eq!(fs::read(&segment).expect("a segment"), bytes);
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_back_after_500_changes_catch_up() {
    let mut fleet = fleet(4).await;
    let hosts = &mut fleet.hosts;
    hosts.kill(2);
    hosts.kill(3);
    grow(hosts, 0, 1, 501).await;

    hosts.spawn(2);
    hosts.spawn(3);
    let told = hosts
        .until_in_force(0, 501, |answer| {
            answer.everywhere && answer.entries.iter().all(|entry| entry.in_force)
        })
        .await;
    let answer = hosts.decide(3, &window(1)).await;

    assert_eq!(told.entries.len(), 4);
    until_version(hosts, 2, 501).await;
    until_version(hosts, 3, 501).await;
    assert!(
        matches!(answer, NoteAnswer::Accepted { version, .. } if version == Version(2)),
        "{answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_of_another_authority_or_fleet_get_nothing() {
    let mut fleet = fleet(4).await;
    let hosts = &mut fleet.hosts;
    let others = tempfile::tempdir().expect("a folder");
    tls::make(others.path(), &[Node(4)]).expect("keys");
    let (own, foreign) = (
        hosts.folder().display().to_string(),
        others.path().display().to_string(),
    );
    for round in 0..2 {
        hosts.kill(3);
        match round {
            0 => hosts.rewrite(3, &own, &foreign),
            _ => {
                hosts.rewrite(3, &foreign, &own);
                hosts.rewrite(3, "fleet: tests", "fleet: others");
            }
        }
        let heard: Vec<usize> = (0..3).map(|place| refusals(hosts, place)).collect();
        hosts.spawn(3);
        let version = round + 1;
        grow(hosts, 0, version, version + 1).await;
        let start = tokio::time::Instant::now();
        while !(0..3).any(|place| refusals(hosts, place) > heard[place]) {
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "{}",
                hosts.log(0)
            );
            sleep(Duration::from_millis(50)).await;
        }
        let status = hosts.status(3).await.expect("it answers its operators");

        assert!(!status.fresh);
        assert_eq!(status.version, Version(0));
        assert_eq!(status.index, 0);
        assert!(status.targets.is_empty() && status.entries.is_empty());
    }
}

/// How often a host has turned a process away.
fn refusals(hosts: &Hosts, place: usize) -> usize {
    hosts.log(place).matches("CR0014").count()
}
