//! Files of a data folder: names, the lock, and writes that last.

use super::error::StoreError;
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

const LOCK: &str = "lock";
const OWNER: &str = "owner";
const SNAPSHOT: &str = "snapshot";
const SEGMENT: &str = "log-";
const TEMPORARY: &str = "tmp";

/// A data folder, locked for this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    lock: File,
}

impl Drop for Folder {
    /// Releases the lock itself. Closing the file is not enough while a process that is being
    /// started from this one still holds a copy of its descriptor.
    fn drop(&mut self) {
        // There is nobody to tell; the lock goes with the process at the latest.
        let _ = self.lock.unlock();
    }
}

impl Folder {
    /// Creates the folder if need be and locks it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(|e| StoreError::io("create", path, e))?;
        let lock_path = path.join(LOCK);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|e| StoreError::io("open", &lock_path, e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::InUse { path: lock_path }),
            Err(TryLockError::Error(e)) => return Err(StoreError::io("lock", lock_path, e)),
        }
        Ok(Folder {
            path: path.to_owned(),
            lock,
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
        let failed = |e| StoreError::io("list", &self.path, e);
        let mut numbers = Vec::new();
        for file in fs::read_dir(&self.path).map_err(failed)? {
            let name = file.map_err(failed)?.file_name();
            let digits = name.to_str().and_then(|n| n.strip_prefix(SEGMENT));
            numbers.extend(digits.and_then(|d| d.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Content of a file; `None` if there is no such file.
    pub fn read(&self, path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(StoreError::io("read", path, e)),
        }
    }

    /// Puts a file with this content in place, synced, or leaves what was there.
    pub fn replace(&self, path: &Path, bytes: &[u8]) -> Result<File, StoreError> {
        let temporary = path.with_extension(TEMPORARY);
        let failed = |e| StoreError::io("write", &temporary, e);
        let mut file = File::create(&temporary).map_err(failed)?;
        file.write_all(bytes).map_err(failed)?;
        file.sync_all().map_err(failed)?;
        fs::rename(&temporary, path).map_err(|e| StoreError::io("rename", path, e))?;
        self.sync()?;
        Ok(file)
    }

    /// Opens a file to append to it, cut to `length` bytes.
    pub fn resume(&self, path: &Path, length: u64) -> Result<File, StoreError> {
        let failed = |e| StoreError::io("cut", path, e);
        let file = OpenOptions::new().append(true).open(path).map_err(failed)?;
        file.set_len(length).map_err(failed)?;
        file.sync_all().map_err(failed)?;
        Ok(file)
    }

    /// Removes a file.
    pub fn remove(&self, path: &Path) -> Result<(), StoreError> {
        fs::remove_file(path).map_err(|e| StoreError::io("remove", path, e))
    }

    /// Makes names that were created, renamed or removed last.
    pub fn sync(&self) -> Result<(), StoreError> {
        let folder = File::open(&self.path).map_err(|e| StoreError::io("open", &self.path, e))?;
        folder
            .sync_all()
            .map_err(|e| StoreError::io("sync", &self.path, e))
    }
}
