//! Record format on disk: four bytes of length, a four-byte checksum over length and payload (CRC-32C), and the
//! payload.
//!
//! The payload is encoded with postcard. It contains no field names, so a list of 100,000 hosts stays small, and every
//! record starts with its kind. A later version adds a new record kind or changes the version in `MAGIC`.

use std::sync::Arc;

use amberarch_roster::{Member, Stand, UnixMs};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The first bytes of a file of this version.
pub const MAGIC: [u8; 8] = *b"amberst\x01";
/// A member has a few hundred bytes; a larger length is corrupted.
const MAX_PAYLOAD_BYTES: usize = 64 * 1_024;
/// Length and checksum in front of each payload.
const HEADER_BYTES: usize = 8;

/// A record of a base or a log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// First record of a base file: its generation, and when it was created.
    Head {
        generation: u64,
        at: UnixMs,
    },
    Member(Arc<Member>),
    /// Version up to which the list was confirmed, and when.
    Stand(Stand),
    /// Last record of a base file: the number of members before it. A base file without it is incomplete.
    End {
        members: u64,
    },
}

/// Why reading stopped before the end of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// The file ends inside a record.
    #[error("cut off at byte {0}")]
    Cut(u64),
    #[error("checksum mismatch at byte {0}")]
    Checksum(u64),
    #[error("cannot decode the record at byte {0}")]
    Record(u64),
    #[error("not a file of this format version")]
    Version,
}

/// Appends a record of the membership to a buffer.
pub fn write(record: &Record, out: &mut Vec<u8>) -> Result<(), postcard::Error> {
    frame(record, out)
}

/// Appends a record of any type to a buffer, with its length and checksum.
pub fn frame<R: Serialize>(record: &R, out: &mut Vec<u8>) -> Result<(), postcard::Error> {
    let payload = postcard::to_stdvec(record)?;
    let length = (payload.len() as u32).to_le_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&checksum(&length, &payload).to_le_bytes());
    out.extend_from_slice(&payload);
    Ok(())
}

fn checksum(length: &[u8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(length), payload)
}

/// Reads the membership records of a file up to the first corrupted one. Returns the records, the number of valid
/// bytes, and why reading stopped before the end.
pub fn read(bytes: &[u8]) -> (Vec<Record>, u64, Option<Spoilt>) {
    frames(bytes, MAGIC, MAX_PAYLOAD_BYTES)
}

/// Like [`read`], for records of any type with payloads of at most `max_payload` bytes, in a file that begins with
/// `magic`.
pub fn frames<R: DeserializeOwned>(
    bytes: &[u8],
    magic: [u8; 8],
    max_payload: usize,
) -> (Vec<R>, u64, Option<Spoilt>) {
    if bytes.len() < magic.len() {
        return (vec![], 0, Some(Spoilt::Cut(0)));
    }
    if bytes[..magic.len()] != magic {
        return (vec![], 0, Some(Spoilt::Version));
    }
    let (mut records, mut at) = (Vec::new(), magic.len());
    while at < bytes.len() {
        match decode(&bytes[at..], at as u64, max_payload) {
            Ok((record, length)) => {
                records.push(record);
                at += length;
            }
            Err(corruption) => return (records, at as u64, Some(corruption)),
        }
    }
    (records, at as u64, None)
}

/// Decodes the record at the start of `bytes`, which is at offset `at` of its file. Returns it with its whole length.
fn decode<R: DeserializeOwned>(bytes: &[u8], at: u64, max_payload: usize) -> Result<(R, usize), Spoilt> {
    let word = |from: usize| -> Option<[u8; 4]> { bytes.get(from..from + 4)?.try_into().ok() };
    let (length, expected) = (word(0).ok_or(Spoilt::Cut(at))?, word(4).ok_or(Spoilt::Cut(at))?);
    let size = u32::from_le_bytes(length) as usize;
    if size > max_payload {
        return Err(Spoilt::Checksum(at));
    }
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + size).ok_or(Spoilt::Cut(at))?;
    if u32::from_le_bytes(expected) != checksum(&length, payload) {
        return Err(Spoilt::Checksum(at));
    }
    let record = postcard::from_bytes(payload).map_err(|_| Spoilt::Record(at))?;
    Ok((record, HEADER_BYTES + size))
}
