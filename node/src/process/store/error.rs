//! Why a data folder cannot be used, each with its number and remedy.

use cornelrail_lib::{
    name::Node,
    process::record::{FORMAT_VERSION, RecordError},
};
use std::{io, path::PathBuf};
use thiserror::Error;

/// Why a data folder cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The operating system refused.
    #[error(
        "E401 cannot {action} {path}: {source}; make the folder writable, see that the disk has \
         room, then restart"
    )]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// Another process holds the folder's lock.
    #[error("E402 another process uses {path}; stop it or name another data folder")]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
    /// The folder belongs to another fleet.
    #[error(
        "E403 {path} was written by another fleet; correct the fleet's name or the data folder in \
         the settings"
    )]
    OtherFleet {
        /// The file.
        path: PathBuf,
    },
    /// The folder belongs to another node.
    #[error("E404 {path} belongs to node {found}; give node {own} a data folder of its own")]
    OtherNode {
        /// The file.
        path: PathBuf,
        /// Node that made the folder.
        found: Node,
        /// This node.
        own: Node,
    },
    /// A later program wrote the folder.
    #[error(
        "E405 {path} has format {found}, this program reads up to {FORMAT_VERSION}; install the \
         later program again"
    )]
    LaterFormat {
        /// The file.
        path: PathBuf,
        /// Its format.
        found: u16,
    },
    /// The folder's content was changed after it was synced.
    #[error(
        "E406 {path} is damaged at byte {offset}; move the data folder away and restart with an \
         empty one: the voter joins anew and copies the log from the others"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Position of the first record that cannot be used.
        offset: u64,
    },
    /// A file that the others need is gone.
    #[error(
        "E407 {path} is missing though the folder is in use; move the data folder away and restart \
         with an empty one: the voter joins anew and copies the log from the others"
    )]
    Missing {
        /// The file.
        path: PathBuf,
    },
}

impl StoreError {
    /// Wraps an error of the operating system.
    pub(super) fn io(action: &'static str, path: impl Into<PathBuf>, source: io::Error) -> Self {
        StoreError::Io {
            action,
            path: path.into(),
            source,
        }
    }

    /// Whether the folder can be used once the disk has room.
    pub fn is_full(&self) -> bool {
        let StoreError::Io { source, .. } = self else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }

    /// Error for a record that cannot be used.
    pub(super) fn record(path: impl Into<PathBuf>, error: &RecordError) -> Self {
        let path = path.into();
        match *error {
            RecordError::Torn(offset) | RecordError::Damaged(offset) => {
                StoreError::Damaged { path, offset }
            }
            RecordError::OtherFleet(_) => StoreError::OtherFleet { path },
            RecordError::LaterFormat { found, .. } => StoreError::LaterFormat { path, found },
        }
    }
}
