//! Bodies in one piece, whose memory is used again.

use crate::account::{BufferAccount, Shortage};
use crate::bytes::IncomingBytes;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// A body in one piece. The account has its memory back when it is dropped; a clone is outside the account.
#[derive(Default)]
pub struct PooledBytes {
    bytes: Vec<u8>,
    room: Option<Room>,
}

/// What a body holds of an account.
struct Room {
    account: Arc<BufferAccount>,
    incoming: IncomingBytes,
}

impl PooledBytes {
    /// Memory for a body of known length, in room for `copies` times as much; `interrupt` is called when it has to give way to
    /// others before it is whole.
    pub fn receive(
        account: &Arc<BufferAccount>,
        length: usize,
        copies: usize,
        interrupt: impl Fn() + Send + Sync + 'static,
    ) -> Result<Self, Shortage> {
        let mut incoming = account.receive(interrupt);
        incoming.announce(length.saturating_mul(copies))?;
        let account = Arc::clone(account);
        Ok(Self {
            bytes: account.take_buffer(length),
            room: Some(Room { account, incoming }),
        })
    }

    /// Adds bytes that came.
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), Shortage> {
        self.bytes.extend_from_slice(bytes);
        let room = self.room.as_ref();
        room.map_or(Ok(()), |room| room.incoming.note_received(self.bytes.len()))
    }

    /// Whether it gave way to others.
    pub fn is_dropped(&self) -> bool {
        self.room.as_ref().is_some_and(|room| room.incoming.is_dropped())
    }

    /// Notes that it is whole, so that it gives way to none.
    pub fn finish(&mut self) -> Result<(), Shortage> {
        let room = self.room.as_ref();
        room.map_or(Ok(()), |room| room.incoming.note_whole())
    }
}

impl Drop for PooledBytes {
    fn drop(&mut self) {
        if let Some(room) = &self.room {
            room.account.give_back_buffer(std::mem::take(&mut self.bytes));
        }
    }
}

impl Deref for PooledBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Clone for PooledBytes {
    fn clone(&self) -> Self {
        self.bytes.clone().into()
    }
}

impl From<Vec<u8>> for PooledBytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes, room: None }
    }
}

impl PartialEq for PooledBytes {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for PooledBytes {}

impl fmt::Debug for PooledBytes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.bytes.fmt(formatter)
    }
}
