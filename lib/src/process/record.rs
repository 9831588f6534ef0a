//! Format of the records in the files of a data folder.
//!
//! A record consists of a header, a payload, the payload's CRC-32C and an end marker. The header
//! holds the format version, the digest of the fleet's name, the payload's length and a CRC-32C of
//! these three, so that a reader can verify the length before it uses it. The end marker is never
//! zero. An interrupted write leaves zeros or nothing at its place, so that a torn write can be
//! distinguished from a record that was complete and damaged later.

use super::raft::{HardState, Identity, LogEntry, Snapshot};
use crate::name::Node;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Format version that this program writes, and the latest that it reads.
pub const FORMAT_VERSION: u16 = 1;
/// Length of a record's header, in bytes.
const HEADER_BYTES: usize = 18;
/// Length of a CRC-32C, in bytes.
const CHECKSUM_BYTES: usize = 4;
/// Last byte of each record; not zero, unlike the bytes that an interrupted write leaves.
const END_MARKER: u8 = 0xa5;
/// Length of the checksum and the end marker that follow the payload, in bytes.
const TRAILER_BYTES: usize = CHECKSUM_BYTES + 1;

/// Digest of a fleet's name, by which a data folder of another fleet is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetDigest(pub u64);

impl FleetDigest {
    /// First eight bytes of the BLAKE3 digest of the name, as a big-endian number.
    pub fn of(fleet: &str) -> Self {
        let digest = blake3::hash(fleet.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest.as_bytes()[..8]);
        FleetDigest(u64::from_be_bytes(head))
    }
}

/// Payload of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Node that the data folder belongs to.
    FolderOwner {
        /// Node of the entry or core host.
        node: Node,
        /// Random identity, drawn when the folder was created.
        identity: Identity,
    },
    /// Term and vote of the voter.
    HardState(HardState),
    /// The log starts after this log entry; all earlier records are void.
    LogStart {
        /// Index of the last log entry that is not in the log.
        index: u64,
        /// Term of that log entry.
        term: u64,
    },
    /// One log entry; it replaces all log entries at its index and after.
    LogEntry(LogEntry),
    /// Snapshot of the state up to an index of the log.
    Snapshot(Snapshot),
}

/// Error in reading a record, with the byte at which the record starts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The file ends within the record, or only zeros follow: its write was interrupted.
    #[error("the record at byte {0} was written only in part")]
    Torn(u64),
    /// The record was changed after it was written.
    #[error("the record at byte {0} is damaged")]
    Damaged(u64),
    /// The record was written by a process of another fleet.
    #[error("the record at byte {0} belongs to another fleet")]
    OtherFleet(u64),
    /// The record was written by a later version of this program.
    #[error(
        "the record at byte {offset} has format {found}, but this program reads formats up to \
         {FORMAT_VERSION}"
    )]
    LaterFormat {
        /// Byte at which the record starts.
        offset: u64,
        /// Format version of the record.
        found: u16,
    },
}

/// Appends the encoded record to `buffer`.
pub fn encode(fleet: FleetDigest, record: &Record, buffer: &mut Vec<u8>) {
    let payload = postcard::to_stdvec(record).unwrap_or_default();
    let start = buffer.len();
    buffer.extend(FORMAT_VERSION.to_le_bytes());
    buffer.extend(fleet.0.to_le_bytes());
    buffer.extend((payload.len() as u32).to_le_bytes());
    let checksum = crc32c::crc32c(&buffer[start..]);
    buffer.extend(checksum.to_le_bytes());
    buffer.extend(&payload);
    buffer.extend(crc32c::crc32c(&payload).to_le_bytes());
    buffer.push(END_MARKER);
}

/// Iterator over the records of one file; ends after the first error.
#[derive(Debug)]
pub struct RecordReader<'a> {
    fleet: FleetDigest,
    bytes: &'a [u8],
    offset: usize,
    failed: bool,
}

impl<'a> RecordReader<'a> {
    /// Reads `bytes`, the content of a whole file.
    pub fn new(fleet: FleetDigest, bytes: &'a [u8]) -> Self {
        RecordReader {
            fleet,
            bytes,
            offset: 0,
            failed: false,
        }
    }

    /// Byte after the last valid record.
    pub fn offset(&self) -> u64 {
        self.offset as u64
    }

    /// Reads the record at the current offset; returns it with its length in bytes.
    fn read_record(&self) -> Result<(Record, usize), RecordError> {
        let rest = &self.bytes[self.offset..];
        let at = self.offset as u64;
        if rest.iter().all(|b| *b == 0) {
            return Err(RecordError::Torn(at));
        }
        let header = rest.get(..HEADER_BYTES).ok_or(RecordError::Torn(at))?;
        let length = self.check_header(header, rest)?;
        let end = HEADER_BYTES + length + TRAILER_BYTES;
        let body = rest.get(HEADER_BYTES..end).ok_or(RecordError::Torn(at))?;
        let (payload, trailer) = body.split_at(length);
        let checksum = u64::from(crc32c::crc32c(payload));
        if read_le(&trailer[..CHECKSUM_BYTES]) != checksum || trailer[CHECKSUM_BYTES] != END_MARKER
        {
            return Err(self.torn_or_damaged(&rest[end - 1..]));
        }
        let record = postcard::from_bytes(payload).map_err(|_| RecordError::Damaged(at))?;
        Ok((record, end))
    }

    /// Verifies the header and returns the length of the payload.
    fn check_header(&self, header: &[u8], rest: &[u8]) -> Result<usize, RecordError> {
        let offset = self.offset as u64;
        let (fields, checksum) = header.split_at(HEADER_BYTES - CHECKSUM_BYTES);
        if read_le(checksum) != u64::from(crc32c::crc32c(fields)) {
            return Err(self.torn_or_damaged(&rest[HEADER_BYTES..]));
        }
        let found = read_le(&fields[..2]) as u16;
        if found > FORMAT_VERSION {
            return Err(RecordError::LaterFormat { offset, found });
        }
        if read_le(&fields[2..10]) != self.fleet.0 {
            return Err(RecordError::OtherFleet(offset));
        }
        Ok(read_le(&fields[10..]) as usize)
    }

    /// Distinguishes a torn write from damage. `rest` starts no later than the record's end marker:
    /// a record that was written completely leaves at least that byte non-zero.
    fn torn_or_damaged(&self, rest: &[u8]) -> RecordError {
        let at = self.offset as u64;
        match rest.iter().all(|b| *b == 0) {
            true => RecordError::Torn(at),
            false => RecordError::Damaged(at),
        }
    }
}

impl Iterator for RecordReader<'_> {
    type Item = Result<Record, RecordError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.failed || self.offset == self.bytes.len() {
            return None;
        }
        match self.read_record() {
            Ok((record, length)) => {
                self.offset += length;
                Some(Ok(record))
            }
            Err(error) => {
                self.failed = true;
                Some(Err(error))
            }
        }
    }
}

/// Decodes a little-endian number.
fn read_le(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b))
}
