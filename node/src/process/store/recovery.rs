//! Reading a data folder after a start.

use super::{error::StoreError, folder::Folder};
use cornelrail_lib::process::{
    raft::{HardState, LogEntry, RestoredState, Snapshot},
    record::{FleetDigest, Record, RecordError, RecordReader},
};
use std::path::Path;

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

    /// Entries after the snapshot. Those of a log that the snapshot does not fit are dropped: a
    /// crash came between the snapshot's arrival and the new log.
    fn entries_after(self, snapshot: Option<&Snapshot>) -> Vec<LogEntry> {
        let Some(snapshot) = snapshot.filter(|s| s.index > self.base) else {
            return self.entries;
        };
        let same = |e: &LogEntry| e.index == snapshot.index && e.term == snapshot.term;
        if !self.entries.iter().any(same) {
            return Vec::new();
        }
        let after = |e: &LogEntry| e.index > snapshot.index;
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
}

/// Reads the snapshot and all log segments. Only the end of the last segment may be torn.
pub fn recover(folder: &Folder, fleet: FleetDigest) -> Result<Recovered, StoreError> {
    let snapshot = read_snapshot(folder, fleet)?;
    let numbers = folder.segments()?;
    let last = numbers.last().copied().unwrap_or(0);
    let mut replay = Replay::default();
    let (mut length, mut torn) = (0, 0);
    for number in numbers {
        let path = folder.segment(number);
        let bytes = folder.read(&path)?.unwrap_or_default();
        length = read_segment(&path, &bytes, fleet, &mut replay, number == last)?;
        torn = bytes.len() as u64 - length;
    }
    if replay.base > snapshot.as_ref().map_or(0, |s| s.index) {
        let path = folder.snapshot();
        return Err(StoreError::Missing { path });
    }
    Ok(Recovered {
        restored: RestoredState {
            hard_state: replay.hard,
            entries: replay.entries_after(snapshot.as_ref()),
            snapshot,
        },
        segment: last,
        length,
        torn,
    })
}

/// Reads the one record of a file that was written as a whole.
pub fn read_single(
    folder: &Folder,
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

fn read_snapshot(folder: &Folder, fleet: FleetDigest) -> Result<Option<Snapshot>, StoreError> {
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
