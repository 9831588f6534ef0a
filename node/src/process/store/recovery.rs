//! Reading a data folder after a start.

use super::{disk::Disk, error::StoreError, folder::Folder};
use cornelrail_lib::process::{
    raft::{HardState, LogEntry, RestoredState, Snapshot},
    record::{FleetDigest, Record, RecordError, RecordReader},
};
use std::path::{Path, PathBuf};

/// State of the log while its records are read in order.
#[derive(Debug, Default)]
struct Replay {
    hard: HardState,
    base: u64,
    entries: Vec<LogEntry>,
}

impl Replay {
    /// Takes a record in; `false` if it cannot stand at this place.
    fn take(&mut self, record: Record) -> bool {
        match record {
            Record::HardState(hard) => self.hard = hard,
            Record::LogStart { index, .. } => {
                self.base = index;
                self.entries.clear();
            }
            Record::LogEntry(entry) => return self.take_entry(entry),
            Record::FolderOwner { .. } | Record::Snapshot(_) => return false,
        }
        true
    }

    fn take_entry(&mut self, entry: LogEntry) -> bool {
        let next = self.base + self.entries.len() as u64 + 1;
        if entry.index <= self.base || entry.index > next {
            return false;
        }
        self.entries
            .truncate((entry.index - self.base - 1) as usize);
        self.entries.push(entry);
        true
    }

    /// Whether the log reaches the snapshot, so that entries after the snapshot can follow in it.
    fn reaches(&self, snapshot: Option<&Snapshot>) -> bool {
        snapshot.is_none_or(|snapshot| {
            let same = |e: &LogEntry| e.index == snapshot.index && e.term == snapshot.term;
            snapshot.index <= self.base || self.entries.iter().any(same)
        })
    }

    /// Entries after the snapshot, in a log that reaches it.
    fn entries_after(self, snapshot: Option<&Snapshot>) -> Vec<LogEntry> {
        let covered = snapshot.map_or(0, |s| s.index);
        let after = |e: &LogEntry| e.index > covered;
        self.entries.into_iter().filter(after).collect()
    }
}

/// What a folder holds.
#[derive(Debug)]
pub struct Recovered {
    /// State for the replicated log.
    pub restored: RestoredState,
    /// Number of the last log segment; 0 if there is none.
    pub segment: u64,
    /// Length of its good part, in bytes.
    pub length: u64,
    /// Bytes cut off behind it.
    pub torn: u64,
    /// Segments that a later one replaces and whose removal was not completed.
    pub replaced: Vec<u64>,
    /// Whether the log does not reach the snapshot: a crash came between the snapshot and the new
    /// log. The log has to be replaced before anything is written to it.
    pub has_gap: bool,
}

/// Reads the snapshot and the log segments, from the last one that replaces all before it. Only the
/// end of the last segment may be torn.
pub fn recover<D: Disk>(folder: &Folder<D>, fleet: FleetDigest) -> Result<Recovered, StoreError> {
    let snapshot = read_snapshot(folder, fleet)?;
    let numbers = folder.segments()?;
    let last = numbers.last().copied().unwrap_or(0);
    let mut segments = Vec::new();
    for number in numbers {
        let path = folder.segment(number);
        let bytes = folder.read(&path)?.unwrap_or_default();
        segments.push((number, path, bytes));
    }
    let begins = |(_, _, bytes): &(u64, PathBuf, Vec<u8>)| {
        let first = RecordReader::new(fleet, bytes).next();
        matches!(first, Some(Ok(Record::LogStart { .. })))
    };
    let start = segments.iter().rposition(begins).unwrap_or(0);
    let replaced = segments.drain(..start).map(|(number, ..)| number).collect();
    let mut replay = Replay::default();
    let (mut length, mut torn) = (0, 0);
    for (number, path, bytes) in &segments {
        length = read_segment(path, bytes, fleet, &mut replay, *number == last)?;
        torn = bytes.len() as u64 - length;
    }
    if replay.base > snapshot.as_ref().map_or(0, |s| s.index) {
        let path = folder.snapshot();
        return Err(StoreError::Missing { path });
    }
    let has_gap = !replay.reaches(snapshot.as_ref());
    let hard_state = replay.hard;
    let entries = match has_gap {
        true => Vec::new(),
        false => replay.entries_after(snapshot.as_ref()),
    };
    Ok(Recovered {
        restored: RestoredState {
            hard_state,
            entries,
            snapshot,
        },
        segment: last,
        length,
        torn,
        replaced,
        has_gap,
    })
}

/// Reads the one record of a file that was written as a whole.
pub fn read_single<D: Disk>(
    folder: &Folder<D>,
    path: &Path,
    fleet: FleetDigest,
) -> Result<Option<Record>, StoreError> {
    let Some(bytes) = folder.read(path)? else {
        return Ok(None);
    };
    let first = RecordReader::new(fleet, &bytes).next();
    let record = first.unwrap_or(Err(RecordError::Torn(0)));
    record.map(Some).map_err(|e| StoreError::record(path, &e))
}

fn read_snapshot<D: Disk>(
    folder: &Folder<D>,
    fleet: FleetDigest,
) -> Result<Option<Snapshot>, StoreError> {
    let path = folder.snapshot();
    match read_single(folder, &path, fleet)? {
        None => Ok(None),
        Some(Record::Snapshot(snapshot)) => Ok(Some(snapshot)),
        Some(_) => Err(StoreError::Damaged { path, offset: 0 }),
    }
}

/// Replays one segment; gives the length of its good part.
fn read_segment(
    path: &Path,
    bytes: &[u8],
    fleet: FleetDigest,
    replay: &mut Replay,
    last: bool,
) -> Result<u64, StoreError> {
    let mut reader = RecordReader::new(fleet, bytes);
    loop {
        let offset = reader.offset();
        match reader.next() {
            None => return Ok(offset),
            Some(Ok(record)) => {
                if !replay.take(record) {
                    let path = path.to_owned();
                    return Err(StoreError::Damaged { path, offset });
                }
            }
            Some(Err(RecordError::Torn(_))) if last => return Ok(offset),
            Some(Err(error)) => return Err(StoreError::record(path, &error)),
        }
    }
}
