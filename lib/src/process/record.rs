//! Records in the files of a data folder.
//!
//! A record is a header, a payload, the payload's CRC-32C and a mark. The header holds the format
//! version, the digest of the fleet's name, the payload's length and a CRC-32C of these, so a reader
//! knows whether the length can be trusted before it uses it. The mark is never zero: a write that
//! was cut off, which leaves zeros or nothing, is told from a record that was whole once.

use super::raft::{HardState, Identity, LogEntry, Snapshot};
use crate::name::Node;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the format that this program writes, and the latest that it reads.
pub const FORMAT: u16 = 1;
/// Length of a record's header, in bytes.
const HEADER_BYTES: usize = 18;
/// Length of a checksum, in bytes.
const SUM_BYTES: usize = 4;
/// Last byte of each record.
const MARK: u8 = 0xa5;
/// Length of what follows the payload, in bytes.
const TAIL_BYTES: usize = SUM_BYTES + 1;

/// Digest of a fleet's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetDigest(pub u64);

impl FleetDigest {
    /// Digest of the name: the first eight bytes of its BLAKE3 digest.
    pub fn of(fleet: &str) -> Self {
        let digest = blake3::hash(fleet.as_bytes());
        let mut head = [0; 8];
        head.copy_from_slice(&digest.as_bytes()[..8]);
        FleetDigest(u64::from_be_bytes(head))
    }
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Whose folder it is.
    Owner {
        /// The node.
        node: Node,
        /// Identity drawn when the folder was made.
        identity: Identity,
    },
    /// Term and vote.
    Hard(HardState),
    /// The log begins after this entry; records before this one do not count.
    Begin {
        /// Index of the last entry before.
        index: u64,
        /// Term of that entry.
        term: u64,
    },
    /// One entry; it replaces whatever stood at its index and after.
    Entry(LogEntry),
    /// A snapshot.
    Snapshot(Snapshot),
}

/// Why no record can be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The bytes end within the record, or hold only zeros: its write was cut off.
    #[error("the record at byte {0} was cut off")]
    Torn(u64),
    /// The bytes were changed after they were written.
    #[error("the record at byte {0} is damaged")]
    Damaged(u64),
    /// Another fleet wrote it.
    #[error("the record at byte {0} belongs to another fleet")]
    OtherFleet(u64),
    /// A later program wrote it.
    #[error("the record at byte {offset} has format {found}, this program reads up to {FORMAT}")]
    LaterFormat {
        /// Position of the record.
        offset: u64,
        /// Its format.
        found: u16,
    },
}

/// Appends a record's bytes to a buffer.
pub fn encode(fleet: FleetDigest, record: &Record, buffer: &mut Vec<u8>) {
    let payload = postcard::to_stdvec(record).unwrap_or_default();
    let start = buffer.len();
    buffer.extend(FORMAT.to_le_bytes());
    buffer.extend(fleet.0.to_le_bytes());
    buffer.extend((payload.len() as u32).to_le_bytes());
    let sum = crc32c::crc32c(&buffer[start..]);
    buffer.extend(sum.to_le_bytes());
    buffer.extend(&payload);
    buffer.extend(crc32c::crc32c(&payload).to_le_bytes());
    buffer.push(MARK);
}

/// Records of one file, in order; ends after the first error.
#[derive(Debug)]
pub struct Reader<'a> {
    fleet: FleetDigest,
    bytes: &'a [u8],
    offset: usize,
    failed: bool,
}

impl<'a> Reader<'a> {
    /// Reader of a whole file.
    pub fn new(fleet: FleetDigest, bytes: &'a [u8]) -> Self {
        Reader {
            fleet,
            bytes,
            offset: 0,
            failed: false,
        }
    }

    /// Position after the last good record, in bytes.
    pub fn offset(&self) -> u64 {
        self.offset as u64
    }

    fn read(&self) -> Result<(Record, usize), RecordError> {
        let rest = &self.bytes[self.offset..];
        let at = self.offset as u64;
        if rest.iter().all(|b| *b == 0) {
            return Err(RecordError::Torn(at));
        }
        let header = rest.get(..HEADER_BYTES).ok_or(RecordError::Torn(at))?;
        let length = self.check_header(header, rest)?;
        let end = HEADER_BYTES + length + TAIL_BYTES;
        let body = rest.get(HEADER_BYTES..end).ok_or(RecordError::Torn(at))?;
        let (payload, tail) = body.split_at(length);
        let sum = u64::from(crc32c::crc32c(payload));
        if number(&tail[..SUM_BYTES]) != sum || tail[SUM_BYTES] != MARK {
            return Err(self.unsound(&rest[end - 1..]));
        }
        let record = postcard::from_bytes(payload).map_err(|_| RecordError::Damaged(at))?;
        Ok((record, end))
    }

    fn check_header(&self, header: &[u8], rest: &[u8]) -> Result<usize, RecordError> {
        let offset = self.offset as u64;
        let (fields, sum) = header.split_at(HEADER_BYTES - SUM_BYTES);
        if number(sum) != u64::from(crc32c::crc32c(fields)) {
            return Err(self.unsound(&rest[HEADER_BYTES..]));
        }
        let found = number(&fields[..2]) as u16;
        if found > FORMAT {
            return Err(RecordError::LaterFormat { offset, found });
        }
        if number(&fields[2..10]) != self.fleet.0 {
            return Err(RecordError::OtherFleet(offset));
        }
        Ok(number(&fields[10..]) as usize)
    }

    /// Tells a write that was cut off from damage, by the bytes from the record's mark on: a whole
    /// record leaves at least that one.
    fn unsound(&self, rest: &[u8]) -> RecordError {
        let at = self.offset as u64;
        match rest.iter().all(|b| *b == 0) {
            true => RecordError::Torn(at),
            false => RecordError::Damaged(at),
        }
    }
}

impl Iterator for Reader<'_> {
    type Item = Result<Record, RecordError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.failed || self.offset == self.bytes.len() {
            return None;
        }
        match self.read() {
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

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b))
}
