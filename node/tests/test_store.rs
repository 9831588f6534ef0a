//! A data folder gives back what was synced, cuts off what was not, and refuses the rest.

use cornelrail_lib::{
    name::Node,
    process::{
        raft::{
            Batch, HardState, Identity, LogEntry, Member, Membership, Payload, RestoredState,
            Snapshot,
        },
        record::{FORMAT_VERSION, FleetDigest, Record, encode},
    },
};
use cornelrail_node::process::store::{Opened, Store, StoreError};
use quickcheck::{Arbitrary, Gen, TestResult};
use std::{
    fs,
    path::{Path, PathBuf},
};
use tempfile::TempDir;

const FLEET: &str = "kindloon";

/// What one batch of a random history does.
#[derive(Debug, Clone)]
enum Write {
    Hard(u64),
    Append(u8),
    Overwrite(u8),
    Snapshot(u8),
    Install(u8),
}

impl Arbitrary for Write {
    fn arbitrary(g: &mut Gen) -> Self {
        let size = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => Write::Hard(u64::arbitrary(g)),
            1 => Write::Overwrite(size),
            2 => Write::Snapshot(size),
            3 => Write::Install(size),
            _ => Write::Append(size),
        }
    }
}

fn open(path: &Path) -> Result<Opened, StoreError> {
    Store::open(path, FLEET, Node(3))
}

fn entries(first: u64, term: u64, count: u8) -> Vec<LogEntry> {
    let payload = |i| Payload::Command(vec![i as u8; 1 + i as usize % 50]);
    let indices = first..first + u64::from(count % 8);
    indices
        .map(|index| LogEntry {
            index,
            term,
            payload: payload(index),
        })
        .collect()
}

/// Next batch of a history, with what the folder must hold after it.
fn batch(state: &mut RestoredState, number: u64, write: &Write) -> Batch {
    let covered = state.snapshot.as_ref().map_or(0, |s| s.index);
    let last = state.entries.last().map_or(covered, |e| e.index);
    let mut batch = Batch {
        number,
        hard_state: None,
        snapshot: None,
        entries: Vec::new(),
    };
    match *write {
        Write::Hard(term) => {
            batch.hard_state = Some(HardState { term, vote: None });
        }
        Write::Append(count) => batch.entries = entries(last + 1, number, count),
        Write::Overwrite(count) => {
            let first = last.saturating_sub(2).max(covered) + 1;
            batch.entries = entries(first, number, count);
        }
        Write::Snapshot(size) | Write::Install(size) => {
            let ahead = u64::from(matches!(write, Write::Install(_))) * 5;
            let index = if ahead > 0 { last + ahead } else { last };
            batch.hard_state = Some(state.hard_state);
            batch.snapshot = Some(Snapshot {
                index,
                term: number,
                membership: Membership::default(),
                data: vec![size; usize::from(size) * 20],
            });
        }
    }
    follow(state, &batch);
    batch
}

fn follow(state: &mut RestoredState, batch: &Batch) {
    state.hard_state = batch.hard_state.unwrap_or(state.hard_state);
    if let Some(snapshot) = &batch.snapshot {
        state.snapshot = Some(snapshot.clone());
        state.entries.clear();
    }
    for entry in &batch.entries {
        state.entries.retain(|e| e.index < entry.index);
        state.entries.push(entry.clone());
    }
}

/// Writes a history; gives the folder and what it must hold.
fn written(history: &[Write]) -> (TempDir, RestoredState) {
    let root = tempfile::tempdir().unwrap();
    let mut store = open(root.path()).unwrap().store;
    let mut state = RestoredState::default();
    for (number, write) in history.iter().enumerate() {
        let batch = batch(&mut state, number as u64 + 1, write);
        store.write(&batch).unwrap();
    }
    (root, state)
}

fn last_segment(root: &Path) -> PathBuf {
    let names = fs::read_dir(root).unwrap().map(|f| f.unwrap().path());
    let segments = names.filter(|p| p.file_name().unwrap().to_str().unwrap().starts_with("log-"));
    segments.max().unwrap()
}

fn damage(path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).unwrap();
    change(&mut bytes);
    fs::write(path, bytes).unwrap();
}

crate::properties! {
    fn folder_gives_back_what_was_synced(history: Vec<Write>) -> bool {
        let (root, state) = written(&history);
        let first = open(root.path()).unwrap();
        let (identity, found) = (first.identity, first.restored);
        drop(first.store);
        let again = open(root.path()).unwrap();
        found == state && again.restored == state && again.identity == identity
    }

    fn torn_tail_is_cut_off(history: Vec<Write>, count: u8, at: usize, zeros: bool) -> bool {
        let (root, mut state) = written(&history);
        let mut store = open(root.path()).unwrap().store;
        let segment = last_segment(root.path());
        let length = fs::metadata(&segment).unwrap().len() as usize;
        store.write(&batch(&mut state.clone(), 999, &Write::Append(count))).unwrap();
        drop(store);
        let mut kept = 0;
        damage(&segment, |bytes| {
            kept = length + at % (bytes.len() - length + 1);
            let whole = bytes.len();
            bytes.truncate(kept);
            bytes.resize(if zeros { whole } else { kept }, 0);
        });
        let restored = open(root.path()).unwrap().restored;
        let whole = restored.entries.len() - state.entries.len();
        let next = batch(&mut state, 999, &Write::Append(count));
        restored.entries.starts_with(&state.entries[..state.entries.len() - next.entries.len()])
            && restored.entries[..] == state.entries[..restored.entries.len()]
            && whole <= next.entries.len()
            && open(root.path()).unwrap().torn == 0
    }

    fn flipped_bit_is_an_error_and_loses_nothing(
        history: Vec<Write>, file: bool, at: usize, bit: u8
    ) -> TestResult {
        let (root, state) = written(&history);
        let path = if file { last_segment(root.path()) } else { root.path().join("snapshot") };
        if fs::read(&path).unwrap_or_default().is_empty() {
            return TestResult::discard();
        }
        let flip = |bytes: &mut Vec<u8>| {
            let at = at % bytes.len();
            bytes[at] ^= 1 << (bit % 8);
        };
        damage(&path, flip);
        let refused = matches!(open(root.path()), Err(StoreError::Damaged { .. }));
        damage(&path, flip);
        TestResult::from_bool(refused && open(root.path()).unwrap().restored == state)
    }
}

/// The number and the remedy that an operator reads.
fn refusal(path: &Path, fleet: &str, node: u64) -> String {
    let error = Store::open(path, fleet, Node(node)).unwrap_err();
    error.to_string().replace(path.to_str().unwrap(), "DATA")
}

#[test]
fn folders_that_cannot_be_used_are_refused_with_a_remedy() {
    let (root, _) = written(&[Write::Hard(4), Write::Append(3), Write::Snapshot(2)]);
    let path = root.path();
    let mut refusals = vec![refusal(path, "nilebay", 3), refusal(path, FLEET, 4)];
    let held = open(path).unwrap();
    refusals.push(refusal(path, FLEET, 3));
    drop(held);
    damage(&last_segment(path), |bytes| {
        let mut later = Vec::new();
        encode(
            FleetDigest::of(FLEET),
            &Record::HardState(HardState::default()),
            &mut later,
        );
        later[..2].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
        let sum = crc32c::crc32c(&later[..14]).to_le_bytes();
        later[14..18].copy_from_slice(&sum);
        bytes.extend(later);
    });
    refusals.push(refusal(path, FLEET, 3));
    fs::remove_file(path.join("snapshot")).unwrap();
    damage(&last_segment(path), |bytes| bytes.truncate(40));
    refusals.push(refusal(path, FLEET, 3));
    fs::remove_file(path.join("owner")).unwrap();
    refusals.push(refusal(path, FLEET, 3));
    let file = path.join("lock");
    refusals.push(refusal(&file, FLEET, 3));
    insta::assert_snapshot!(refusals.join("\n"));
}

#[test]
fn crash_between_a_received_snapshot_and_its_log_drops_the_log_that_does_not_fit() {
    let (root, state) = written(&[Write::Hard(2), Write::Append(7)]);
    let snapshot = Snapshot {
        index: 4,
        term: 9,
        membership: Membership::new(
            Identity(5),
            [Member {
                node: Node(1),
                identity: Identity(5),
            }],
        ),
        data: vec![1],
    };
    let mut bytes = Vec::new();
    let record = Record::Snapshot(snapshot.clone());
    encode(FleetDigest::of(FLEET), &record, &mut bytes);
    fs::write(root.path().join("snapshot"), bytes).unwrap();
    let restored = open(root.path()).unwrap().restored;
    assert_eq!(restored.hard_state, state.hard_state);
    assert_eq!(restored.snapshot, Some(snapshot));
    assert_eq!(restored.entries, []);
}

/// Puts a snapshot in place as a crash leaves it that comes before the new log.
fn put_snapshot(path: &Path, index: u64, term: u64) -> Snapshot {
    let snapshot = Snapshot {
        index,
        term,
        membership: Membership::default(),
        data: vec![1],
    };
    let mut bytes = Vec::new();
    let record = Record::Snapshot(snapshot.clone());
    encode(FleetDigest::of(FLEET), &record, &mut bytes);
    fs::write(path.join("snapshot"), bytes).unwrap();
    snapshot
}

#[test]
fn what_is_written_behind_a_snapshot_without_its_log_is_found_by_the_next_start() {
    // Ahead of the log, and at an entry of another term.
    for (index, term) in [(40, 9), (4, 9)] {
        let (root, state) = written(&[Write::Hard(2), Write::Append(7)]);
        let snapshot = put_snapshot(root.path(), index, term);
        let mut store = open(root.path()).unwrap().store;
        let batch = Batch {
            number: 1,
            hard_state: None,
            snapshot: None,
            entries: entries(index + 1, term, 3),
        };
        store.write(&batch).unwrap();
        drop(store);

        let restored = open(root.path()).unwrap().restored;

        assert_eq!(restored.hard_state, state.hard_state);
        assert_eq!(restored.snapshot, Some(snapshot));
        assert_eq!(restored.entries, batch.entries);
    }
}

#[test]
fn a_replaced_segment_that_a_loss_of_power_brings_back_is_ignored() {
    let (root, mut state) = written(&[Write::Hard(2), Write::Append(7), Write::Append(5)]);
    let old = fs::read(last_segment(root.path())).unwrap();
    let mut store = open(root.path()).unwrap().store;
    for write in [Write::Snapshot(3), Write::Append(6)] {
        store.write(&batch(&mut state, 9, &write)).unwrap();
    }
    drop(store);
    // Its entries do not follow on anything.
    let returned = root.path().join("log-00000000000000000000");
    fs::write(&returned, &old[old.len() / 2..]).unwrap();

    let first = open(root.path()).unwrap().restored;
    let again = open(root.path()).unwrap().restored;

    assert_eq!(first, state);
    assert_eq!(again, state);
    assert!(!returned.exists());
}
