//! The account of all bytes that a process holds for others, and the memory of requests' bodies.
//!
//! Decisions are in [`shelfjunction_core::buffering`]. A body is reserved in the account before its bytes are read: as a whole
//! where its length is announced, and block by block otherwise. What is reserved is what is allocated, not what is used.

mod account;
mod bytes;
mod pooled;

pub use account::{BufferAccount, HeldAnswer, Shortage};
pub use bytes::{HeldBytes, IncomingBytes};
pub use pooled::PooledBytes;
