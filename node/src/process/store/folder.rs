//! Files of a data folder: names, the lock, and writes that last.

use super::{
    disk::{Disk, DiskFile},
    error::StoreError,
};
use std::{
    fs::TryLockError,
    io,
    path::{Path, PathBuf},
};

const LOCK: &str = "lock";
const OWNER: &str = "owner";
const SNAPSHOT: &str = "snapshot";
const SEGMENT: &str = "log-";
const TEMPORARY: &str = "tmp";

/// A data folder, locked for this process.
#[derive(Debug)]
pub struct Folder<D: Disk> {
    disk: D,
    path: PathBuf,
    _lock: D::Lock,
}

impl<D: Disk> Folder<D> {
    /// Creates the folder if need be and locks it.
    pub fn open(disk: D, path: &Path) -> Result<Self, StoreError> {
        let created = disk.create_folder(path);
        created.map_err(|e| StoreError::io("create", path, e))?;
        let lock_path = path.join(LOCK);
        let lock = disk.lock(&lock_path).map_err(|error| match error {
            TryLockError::WouldBlock => StoreError::InUse {
                path: lock_path.clone(),
            },
            TryLockError::Error(e) => StoreError::io("lock", &lock_path, e),
        })?;
        Ok(Folder {
            disk,
            path: path.to_owned(),
            _lock: lock,
        })
    }

    /// File that says whose folder it is.
    pub fn owner(&self) -> PathBuf {
        self.path.join(OWNER)
    }

    /// File of the latest snapshot.
    pub fn snapshot(&self) -> PathBuf {
        self.path.join(SNAPSHOT)
    }

    /// File of the log segment with this number.
    pub fn segment(&self, number: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT}{number:020}"))
    }

    /// Numbers of the log segments, in order.
    pub fn segments(&self) -> Result<Vec<u64>, StoreError> {
        let names = self.disk.list(&self.path);
        let names = names.map_err(|e| StoreError::io("list", &self.path, e))?;
        let numbers = names.iter().filter_map(|name| {
            let digits = name.to_str()?.strip_prefix(SEGMENT)?;
            digits.parse::<u64>().ok()
        });
        let mut numbers: Vec<_> = numbers.collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Content of a file; `None` if there is no such file.
    pub fn read(&self, path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
        match self.disk.read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(StoreError::io("read", path, e)),
        }
    }

    /// Puts a file with this content in place, synced, or leaves what was there.
    pub fn replace(&self, path: &Path, bytes: &[u8]) -> Result<D::File, StoreError> {
        let temporary = path.with_extension(TEMPORARY);
        let failed = |e| StoreError::io("write", &temporary, e);
        let mut file = self.disk.create(&temporary).map_err(failed)?;
        file.write(bytes).map_err(failed)?;
        file.sync().map_err(failed)?;
        let renamed = self.disk.rename(&temporary, path);
        renamed.map_err(|e| StoreError::io("rename", path, e))?;
        self.sync()?;
        Ok(file)
    }

    /// Writes a file once more, cut to `length` bytes, and keeps it open to append to it. What a failed
    /// sync left may be readable without being on disk, and a later sync does not make up for it.
    pub fn rewrite(&self, path: &Path, length: u64) -> Result<D::File, StoreError> {
        let mut bytes = self.read(path)?.unwrap_or_default();
        bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        match self.replace(path, &bytes) {
            Err(error) if error.is_full() => self.resume(path, length),
            replaced => replaced,
        }
    }

    /// Opens a file on a full disk to append to it, cut to `length` bytes.
    fn resume(&self, path: &Path, length: u64) -> Result<D::File, StoreError> {
        // What the attempt to write it once more has left takes room.
        let _ = self.disk.remove(&path.with_extension(TEMPORARY));
        let failed = |e| StoreError::io("cut", path, e);
        let mut file = self.disk.append(path).map_err(failed)?;
        file.cut(length).map_err(failed)?;
        file.sync().map_err(failed)?;
        self.sync()?;
        Ok(file)
    }

    /// Removes a file.
    pub fn remove(&self, path: &Path) -> Result<(), StoreError> {
        let removed = self.disk.remove(path);
        removed.map_err(|e| StoreError::io("remove", path, e))
    }

    /// Makes the folder itself last, which this start or one before may have created.
    pub fn sync_ancestors(&self) -> Result<(), StoreError> {
        let synced = self.disk.sync_ancestors(&self.path);
        synced.map_err(|e| StoreError::io("sync the folders above", &self.path, e))
    }

    /// Makes names that were created, renamed or removed last.
    pub fn sync(&self) -> Result<(), StoreError> {
        let synced = self.disk.sync_folder(&self.path);
        synced.map_err(|e| StoreError::io("sync", &self.path, e))
    }
}
