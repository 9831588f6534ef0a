//! Voters commit over real folders and tasks, alone and as three.

use cornelrail_lib::name::Node;
use cornelrail_node::process::voter::{self, ProposeError, VoterConfig, VoterEvent, VoterHandle};
use std::{path::Path, time::Duration};
use tokio::{sync::mpsc, time};

const PATIENCE: Duration = Duration::from_secs(30);

/// Settings of one voter of a fleet that lists `count` voters.
fn config(root: &Path, node: u64, count: u64) -> VoterConfig {
    VoterConfig {
        folder: root.join(format!("voter-{node}")),
        fleet: "test".to_owned(),
        node: Node(node),
        listed: (1..=count).map(Node).collect(),
        election: Duration::from_millis(150),
        heartbeat: Duration::from_millis(30),
        drift: Duration::from_millis(10),
        retain: 16,
    }
}

/// Voters whose messages are handed to one another.
struct Group {
    handles: Vec<VoterHandle>,
    commits: Vec<mpsc::UnboundedReceiver<(u64, Vec<u8>)>>,
}

fn start(root: &Path, count: u64) -> Group {
    let started: Vec<_> = (1..=count)
        .map(|n| voter::start(config(root, n, count)).unwrap())
        .collect();
    let handles: Vec<VoterHandle> = started.iter().map(|(h, _)| h.clone()).collect();
    let mut commits = Vec::new();
    for (at, (_, mut events)) in started.into_iter().enumerate() {
        let peers = handles.clone();
        let (sender, receiver) = mpsc::unbounded_channel();
        commits.push(receiver);
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                match event {
                    VoterEvent::Send { to, message } => {
                        peers[to.0 as usize - 1].receive(Node(at as u64 + 1), message);
                    }
                    VoterEvent::Committed { index, command, .. } => {
                        let _ = sender.send((index, command));
                    }
                    VoterEvent::Install { index, snapshot } => {
                        let _ = sender.send((index, snapshot));
                    }
                    VoterEvent::Role { .. } | VoterEvent::Failed(_) => {}
                }
            }
        });
    }
    Group { handles, commits }
}

/// Proposes to whoever leads until the command is committed.
async fn propose(group: &Group, command: &[u8]) -> u64 {
    let attempt = async {
        loop {
            for handle in &group.handles {
                match handle.propose(command.to_vec()).await {
                    Ok(index) => return index,
                    Err(ProposeError::NotLeader(_) | ProposeError::Unknown) => {}
                }
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(PATIENCE, attempt).await.unwrap()
}

async fn commits_of(group: &mut Group, count: usize) {
    for commits in &mut group.commits {
        for n in 0..count {
            let command = loop {
                let next = time::timeout(PATIENCE, commits.recv()).await.unwrap();
                let (_, command) = next.unwrap();
                // An entry of the log's own use is empty.
                if !command.is_empty() {
                    break command;
                }
            };
            assert_eq!(command, vec![n as u8]);
        }
    }
}

#[tokio::test]
async fn one_voter_commits_and_replays_after_a_restart() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 1);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;
    assert!(group.handles[0].has_lease().await);
    group.handles[0].stop().await;
    let mut group = start(root.path(), 1);
    commits_of(&mut group, 10).await;
}

#[tokio::test]
async fn three_voters_found_a_fleet_and_apply_the_same_commands() {
    let root = tempfile::tempdir().unwrap();
    let mut group = start(root.path(), 3);
    for n in 0..10 {
        propose(&group, &[n]).await;
    }
    commits_of(&mut group, 10).await;
    let mut leases = 0;
    for handle in &group.handles {
        leases += u32::from(handle.has_lease().await);
    }
    assert_eq!(leases, 1);
}
