//! Bodies by which a caller tells its own whole answer from any other.
//!
//! The caller puts a nonce and the wanted length into the query of its request. The stand-in
//! answers with a line that names them, the key, the identity and the upload, and fills the rest
//! with bytes that follow from the nonce.

use bytes::Bytes;

/// What an answer must name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject<'a> {
    /// Key that the request was about.
    pub key: &'a str,
    /// Identity of a once-only request, or nothing.
    pub identity: &'a str,
    /// Number that the caller chose for this request.
    pub nonce: u64,
    /// Body of the request.
    pub upload: &'a [u8],
    /// Length of the answer in bytes; a shorter one than its first line is not possible.
    pub length: usize,
}

impl Subject<'_> {
    /// The answer's body.
    pub fn body(&self) -> Bytes {
        let mut body = format!(
            "key={} identity={} nonce={} upload={}:{:016x}\n",
            self.key,
            self.identity,
            self.nonce,
            self.upload.len(),
            digest(self.upload),
        )
        .into_bytes();
        let mut fill = self.nonce | 1;
        while body.len() < self.length {
            fill = fill.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            body.push(b'a' + ((fill >> 59) % 26) as u8);
        }
        body.into()
    }
}

/// Value of a number in the query of a request.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// FNV-1a digest of an upload.
fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
