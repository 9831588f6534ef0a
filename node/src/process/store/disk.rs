//! The file system under a data folder.
//!
//! [`HostDisk`] is that of the operating system. Tests put one in its place that stops at a chosen
//! operation and loses what was not synced.

use std::{
    ffi::OsString,
    fmt::Debug,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::Path,
};

/// Operations of a file system that a store uses.
pub trait Disk: Debug {
    /// File that is open for writing.
    type File: DiskFile;
    /// Lock that lasts until it is dropped.
    type Lock: Debug;
    /// Length at which a new log segment is started, in bytes.
    const SEGMENT_BYTES: u64;

    /// Creates a folder and those above it, unless they are there.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Makes the name of a folder last, and the names of those above it.
    fn sync_ancestors(&self, path: &Path) -> io::Result<()>;
    /// Takes a lock on a file, which is created if need be.
    fn lock(&self, path: &Path) -> Result<Self::Lock, TryLockError>;
    /// Names of the files in a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<OsString>>;
    /// Content of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Creates a file, or empties it.
    fn create(&self, path: &Path) -> io::Result<Self::File>;
    /// Opens a file to write at its end.
    fn append(&self, path: &Path) -> io::Result<Self::File>;
    /// Renames a file; one with the new name is replaced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes the names in a folder last that were created, renamed or removed.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
}

/// File of a [`Disk`].
pub trait DiskFile: Debug {
    /// Writes all bytes at the end.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to a length.
    fn cut(&mut self, length: u64) -> io::Result<()>;
    /// Makes the content last.
    fn sync(&mut self) -> io::Result<()>;
}

/// File system of the operating system.
#[derive(Debug)]
pub struct HostDisk;

impl Disk for HostDisk {
    type File = File;
    type Lock = HostLock;
    const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn sync_ancestors(&self, path: &Path) -> io::Result<()> {
        for folder in path.ancestors().skip(1) {
            // A folder that this process may not open is not one that it has created.
            if let Ok(folder) = File::open(folder) {
                folder.sync_all()?;
            }
        }
        Ok(())
    }

    fn lock(&self, path: &Path) -> Result<HostLock, TryLockError> {
        let mut options = OpenOptions::new();
        let options = options.create(true).truncate(false).write(true);
        let file = options.open(path).map_err(TryLockError::Error)?;
        file.try_lock()?;
        Ok(HostLock(file))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        fs::read_dir(folder)?
            .map(|file| Ok(file?.file_name()))
            .collect()
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn append(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl DiskFile for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Lock on a file of the operating system.
#[derive(Debug)]
pub struct HostLock(File);

impl Drop for HostLock {
    /// Releases the lock itself. Closing the file is not enough while a process that is being
    /// started from this one still holds a copy of its descriptor.
    fn drop(&mut self) {
        // There is nobody to tell; the lock goes with the process at the latest.
        let _ = self.0.unlock();
    }
}
