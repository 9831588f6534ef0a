//! Measures the slopes of docs/CAPACITY.md that need a disk or sockets.
//!
//! Usage: `cargo run --release -p cornelrail-node --example node_slopes -- docs/capacity`. It writes
//! `node.csv` and a plot for each slope into the folder, and prints the fits. The data folders
//! stand beside the CSV file while it runs, so the disk measured is the one that holds it.

#[path = "../../../lib/examples/slopes/fit.rs"]
mod fit;
#[path = "../../../lib/examples/slopes/plot.rs"]
mod plot;
mod sockets;
#[path = "../../../lib/examples/slopes/table.rs"]
mod table;
#[allow(
    dead_code,
    reason = "folding the log belongs to the slopes without a disk"
)]
#[path = "../../../lib/examples/slopes/voters.rs"]
mod voters;

use cornelrail_lib::{
    name::Node,
    process::raft::{Batch, Identity},
};
use cornelrail_node::process::store::{Opened, Store, StoreError};
use fit::Fit;
use std::{
    env,
    error::Error,
    path::{Path, PathBuf},
};
use table::{RUNS, Table};
use tempfile::TempDir;
use voters::Voters;

const FLEET: &str = "capacity";
const COMMITS: u32 = 1_000;
const REPEATS: u32 = 100;
/// Length of a command that moves one range, in bytes.
const COMMAND_BYTES: usize = 64;

/// Disk of one voter.
struct Disk {
    store: Store,
    identity: Identity,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or("docs/capacity".to_owned()));
    let mut table = Table::default();
    for run in 1..=RUNS {
        commits(&mut table, &folder, run)?;
        restarts(&mut table, &folder, run)?;
        sockets::orders(&mut table, run).await?;
        sockets::reports(&mut table, &folder, run).await?;
    }
    table.write(&folder.join("node.csv"))?;
    plot::write(&table, &folder)?;
    for slope in table.slopes() {
        let points: Vec<_> = table.of(slope).collect();
        println!("{slope}: {}", Fit::of(&points));
    }
    Ok(())
}

fn open(root: &TempDir, number: u64) -> Result<Opened, StoreError> {
    let path = root.path().join(format!("voter-{number}"));
    Store::open(&path, FLEET, Node(number))
}

fn disks(root: &TempDir, count: u64) -> Result<Vec<Disk>, StoreError> {
    let one = |number| {
        let opened = open(root, number)?;
        Ok(Disk {
            store: opened.store,
            identity: opened.identity,
        })
    };
    (1..=count).map(one).collect()
}

fn voters(root: &TempDir, count: u64) -> Result<Voters<Disk>, StoreError> {
    Ok(Voters::new(
        disks(root, count)?,
        |disk| disk.identity,
        write,
    ))
}

fn write(disk: &mut Disk, batch: &Batch) {
    // A voter that cannot write must stop, and a measurement as well.
    if let Err(error) = disk.store.write(batch) {
        panic!("{error}");
    }
}

/// Commits with a sync at each voter, one voter after another.
fn commits(table: &mut Table, folder: &Path, run: u32) -> Result<(), Box<dyn Error>> {
    let command = [7; COMMAND_BYTES];
    for count in [1, 3, 5] {
        let root = TempDir::new_in(folder)?;
        let mut voters = voters(&root, count)?;
        table.time("sync_voters_us", count as usize, run, COMMITS, || {
            voters.commit(1, &command)
        });
    }
    for batch in [1, 10, 100, 1_000] {
        let root = TempDir::new_in(folder)?;
        let mut voters = voters(&root, 3)?;
        table.time("sync_batch_us", batch, run, REPEATS, || {
            voters.commit(batch, &command)
        });
    }
    Ok(())
}

/// A voter reads its own log back after a restart.
fn restarts(table: &mut Table, folder: &Path, run: u32) -> Result<(), Box<dyn Error>> {
    for lag in [100_usize, 1_000, 10_000] {
        let root = TempDir::new_in(folder)?;
        voters(&root, 1)?.commit(lag, &[7; COMMAND_BYTES]);
        let bytes = stored_bytes(&root)?;
        table.add("disk_bytes", lag, run, bytes as f64, "B");
        let mut fault = None;
        table.time("recover_us", lag, run, REPEATS, || {
            let opened = open(&root, 1);
            fault = fault.take().or(opened.err());
        });
        if let Some(error) = fault {
            return Err(error.into());
        }
    }
    Ok(())
}

fn stored_bytes(root: &TempDir) -> std::io::Result<u64> {
    let mut sum = 0;
    for file in std::fs::read_dir(root.path().join("voter-1"))? {
        sum += file?.metadata()?.len();
    }
    Ok(sum)
}
