//! The durable state of a voter, in one data folder.
//!
//! The folder holds `owner` (whose it is), `snapshot`, and log segments `log-N`, all made of
//! checksummed records. A batch is appended and synced once; a batch with a snapshot starts a new
//! segment and removes the old ones. A write that was cut off at the end of the last segment was
//! never acknowledged and is cut away; any other fault is an error, since what is missing may have
//! been acknowledged.
//!
//! A crash may leave a snapshot without the log that goes with it, segments that a later one replaces,
//! or names that are not on disk yet. [`Store::open`] makes such a folder whole before it returns, so
//! that whatever is written next is found by the start after it.

mod disk;
mod error;
mod folder;
mod recovery;

pub use self::{
    disk::{Disk, DiskFile, HostDisk},
    error::StoreError,
};

use self::{
    folder::Folder,
    recovery::{read_single, recover},
};
use cornelrail_lib::{
    name::Node,
    process::{
        raft::{Batch, HardState, Identity, LogEntry, RestoredState, Snapshot},
        record::{FleetDigest, Record, encode},
    },
};
use std::path::Path;

/// What a data folder held when it was opened.
#[derive(Debug)]
pub struct Opened<D: Disk = HostDisk> {
    /// The store, ready to write.
    pub store: Store<D>,
    /// Identity of the folder.
    pub identity: Identity,
    /// State for the replicated log.
    pub restored: RestoredState,
    /// Bytes of a write that was cut off, now removed.
    pub torn: u64,
}

/// A data folder opened for writing.
#[derive(Debug)]
pub struct Store<D: Disk = HostDisk> {
    folder: Folder<D>,
    fleet: FleetDigest,
    segment: u64,
    file: D::File,
    length: u64,
    hard: HardState,
}

impl Store {
    /// Opens the folder, or makes it one of this node and fleet if it is empty.
    pub fn open(path: &Path, fleet: &str, node: Node) -> Result<Opened, StoreError> {
        Store::open_on(HostDisk, path, fleet, node)
    }

    /// Opens the folder after a failed write, and writes all that it holds once more. What a failed
    /// sync left may be readable without being on disk.
    pub fn reopen(path: &Path, fleet: &str, node: Node) -> Result<Opened, StoreError> {
        Store::reopen_on(HostDisk, path, fleet, node)
    }
}

impl<D: Disk> Store<D> {
    /// As [`Store::open`], on this disk.
    pub fn open_on(disk: D, path: &Path, fleet: &str, node: Node) -> Result<Opened<D>, StoreError> {
        let folder = Folder::open(disk, path)?;
        let fleet = FleetDigest::of(fleet);
        let identity = own(&folder, fleet, node)?;
        let recovered = recover(&folder, fleet)?;
        let number = recovered.segment.max(1);
        let path = folder.segment(number);
        let file = match recovered.segment {
            0 => folder.replace(&path, &[])?,
            _ => folder.rewrite(&path, recovered.length)?,
        };
        // From here on the names that this start has read are on disk, so the segments that they
        // replace may go.
        for number in &recovered.replaced {
            folder.remove(&folder.segment(*number))?;
        }
        if !recovered.replaced.is_empty() {
            folder.sync()?;
        }
        let mut store = Store {
            folder,
            fleet,
            segment: number,
            file,
            length: recovered.length,
            hard: recovered.restored.hard_state,
        };
        if let (true, Some(snapshot)) = (recovered.has_gap, &recovered.restored.snapshot) {
            store.replace_log(snapshot.index, snapshot.term, &[])?;
        }
        Ok(Opened {
            store,
            identity,
            restored: recovered.restored,
            torn: recovered.torn,
        })
    }

    /// As [`Store::reopen`], on this disk.
    pub fn reopen_on(
        disk: D,
        path: &Path,
        fleet: &str,
        node: Node,
    ) -> Result<Opened<D>, StoreError> {
        let mut opened = Store::open_on(disk, path, fleet, node)?;
        let restored = &opened.restored;
        opened.store.rewrite(restored)?;
        Ok(opened)
    }

    fn rewrite(&mut self, restored: &RestoredState) -> Result<(), StoreError> {
        if let Some(snapshot) = &restored.snapshot {
            let bytes = self.encode(&[Record::Snapshot(snapshot.clone())]);
            self.folder.replace(&self.folder.snapshot(), &bytes)?;
        }
        let snapshot = restored.snapshot.as_ref();
        let (index, term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
        self.replace_log(index, term, &restored.entries)
    }

    /// Writes a batch and syncs it once. After an error the state on disk is not known and the folder
    /// has to be opened again.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(hard) = batch.hard_state {
            self.hard = hard;
        }
        if let Some(snapshot) = &batch.snapshot {
            return self.write_snapshot(snapshot, batch);
        }
        if self.length >= D::SEGMENT_BYTES {
            let head = self.encode(&[Record::HardState(self.hard)]);
            self.start_segment(&head)?;
        }
        let mut bytes = Vec::new();
        if let Some(hard) = batch.hard_state {
            encode(self.fleet, &Record::HardState(hard), &mut bytes);
        }
        for entry in &batch.entries {
            encode(self.fleet, &Record::LogEntry(entry.clone()), &mut bytes);
        }
        self.append(&bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.folder.segment(self.segment);
        let written = self.file.write(bytes);
        written.map_err(|e| StoreError::io("write", &path, e))?;
        let synced = self.file.sync();
        synced.map_err(|e| StoreError::io("sync", &path, e))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot, batch: &Batch) -> Result<(), StoreError> {
        let bytes = self.encode(&[Record::Snapshot(snapshot.clone())]);
        self.folder.replace(&self.folder.snapshot(), &bytes)?;
        self.replace_log(snapshot.index, snapshot.term, &batch.entries)
    }

    /// Starts a segment that replaces all others, with the entries after an index.
    fn replace_log(
        &mut self,
        index: u64,
        term: u64,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        let begin = Record::LogStart { index, term };
        let mut records = vec![begin, Record::HardState(self.hard)];
        records.extend(entries.iter().cloned().map(Record::LogEntry));
        let head = self.encode(&records);
        let old = self.folder.segments()?;
        self.start_segment(&head)?;
        for number in old {
            self.folder.remove(&self.folder.segment(number))?;
        }
        self.folder.sync()
    }

    fn start_segment(&mut self, head: &[u8]) -> Result<(), StoreError> {
        self.segment += 1;
        let path = self.folder.segment(self.segment);
        self.file = self.folder.replace(&path, head)?;
        self.length = head.len() as u64;
        Ok(())
    }

    fn encode(&self, records: &[Record]) -> Vec<u8> {
        let mut bytes = Vec::new();
        for record in records {
            encode(self.fleet, record, &mut bytes);
        }
        bytes
    }
}

/// Identity of the folder; an empty folder gets a new one.
fn own<D: Disk>(
    folder: &Folder<D>,
    fleet: FleetDigest,
    node: Node,
) -> Result<Identity, StoreError> {
    let path = folder.owner();
    match read_single(folder, &path, fleet)? {
        Some(Record::FolderOwner { node: found, .. }) if found != node => {
            Err(StoreError::OtherNode {
                path,
                found,
                own: node,
            })
        }
        Some(Record::FolderOwner { identity, .. }) => Ok(identity),
        Some(_) => Err(StoreError::Damaged { path, offset: 0 }),
        None if folder.segments()?.is_empty() => {
            // Once the folder has an identity, a loss of power must not take it away.
            folder.sync_ancestors()?;
            let identity = Identity(rand::random_range(1..=u64::MAX));
            let mut bytes = Vec::new();
            encode(fleet, &Record::FolderOwner { node, identity }, &mut bytes);
            folder.replace(&path, &bytes)?;
            Ok(identity)
        }
        None => Err(StoreError::Missing { path }),
    }
}
