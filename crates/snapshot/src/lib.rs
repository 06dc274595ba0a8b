//! Durable storage of the fleet membership. Members are written as they change. After a crash at any moment, each
//! member that is read back is in a state that it once had, and every write that was reported as durable is included.
//! Corrupted data is never used.
//!
//! This crate makes no decisions about members: how far they are trusted at their age is up to `amberarch-roster`.

mod record;
mod store;
mod writer;

pub use record::{frame, frames, read, write, Record, Spoilt, MAGIC};
pub use store::{load, Fault, FileContents, Held, Store};
pub use writer::Writer;
