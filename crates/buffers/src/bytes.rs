//! Bodies of requests, in memory that the account has reserved.

use crate::account::{BufferAccount, Shortage};
use shelfjunction_core::buffering::SMALL_REQUEST_BYTES;
use std::fmt;
use std::sync::Arc;

/// Bytes of one block of a large body.
pub(crate) const BLOCK_BYTES: usize = 64 * 1024;

/// A small body is in one vector, a large one in blocks; the account takes both back.
#[derive(Default)]
struct Storage {
    account: Option<Arc<BufferAccount>>,
    reserved: usize,
    small: Vec<u8>,
    blocks: Vec<Vec<u8>>,
}

impl Storage {
    fn len(&self) -> usize {
        self.small.len() + self.blocks.iter().map(Vec::len).sum::<usize>()
    }

    /// The bytes in order.
    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let small = (!self.small.is_empty()).then_some(self.small.as_slice());
        self.blocks.iter().map(Vec::as_slice).chain(small)
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            account.release(self.reserved, &mut self.blocks);
        }
    }
}

/// A body that is being received.
pub struct IncomingBytes {
    storage: Storage,
    account: Arc<BufferAccount>,
    number: u64,
}

impl IncomingBytes {
    pub(crate) fn new(account: Arc<BufferAccount>, number: u64) -> Self {
        let mut storage = Storage::default();
        storage.account = Some(Arc::clone(&account));
        Self {
            storage,
            account,
            number,
        }
    }

    /// Reserves room for a body of known length, before any of it is read.
    pub fn announce(&mut self, length: usize) -> Result<(), Shortage> {
        self.reserve(allocated(length))
    }

    /// Adds bytes that came; takes all of them out of `bytes`.
    pub fn add(&mut self, bytes: &mut Vec<u8>) -> Result<(), Shortage> {
        let length = self.storage.len() + bytes.len();
        self.reserve(allocated(length))?;
        if length <= SMALL_REQUEST_BYTES {
            self.storage.small.append(bytes);
        } else {
            let small = std::mem::take(&mut self.storage.small);
            self.add_to_blocks(&small);
            self.add_to_blocks(bytes);
            bytes.clear();
        }
        self.account.note_received(self.number, length)
    }

    /// Notes how many bytes have come of a body that is kept elsewhere, in room that was announced here.
    pub(crate) fn note_received(&self, received: usize) -> Result<(), Shortage> {
        self.account.note_received(self.number, received)
    }

    /// Notes that a body that is kept elsewhere is whole.
    pub(crate) fn note_whole(&self) -> Result<(), Shortage> {
        self.account.finish(self.number)
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.storage.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the request gave way to others.
    pub fn is_dropped(&self) -> bool {
        self.account.is_dropped(self.number)
    }

    /// The body, whole; it gives way to none from now on.
    pub fn finish(mut self) -> Result<HeldBytes, Shortage> {
        self.account.finish(self.number)?;
        Ok(HeldBytes(Arc::new(std::mem::take(&mut self.storage))))
    }

    fn reserve(&mut self, wanted: usize) -> Result<(), Shortage> {
        if wanted > self.storage.reserved {
            self.account.reserve(self.number, wanted)?;
            self.storage.reserved = wanted;
        }
        Ok(())
    }

    fn add_to_blocks(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let blocks = &mut self.storage.blocks;
            match blocks.last_mut().filter(|block| block.len() < BLOCK_BYTES) {
                Some(block) => {
                    let (taken, left) = bytes.split_at(bytes.len().min(BLOCK_BYTES - block.len()));
                    block.extend_from_slice(taken);
                    bytes = left;
                }
                None => blocks.push(self.account.take_block()),
            }
        }
    }
}

impl Drop for IncomingBytes {
    fn drop(&mut self) {
        // It may have been dropped from the account before, or have finished.
        let _ = self.account.finish(self.number);
    }
}

/// Bytes that are allocated at most for a body of some length; a vector that grows may have room for twice its bytes.
fn allocated(length: usize) -> usize {
    if length <= SMALL_REQUEST_BYTES {
        2 * length
    } else {
        length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }
}

/// A whole body; clones share its memory, which the account has back when the last one is dropped.
#[derive(Clone, Default)]
pub struct HeldBytes(Arc<Storage>);

impl HeldBytes {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes, in pieces, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.0.pieces()
    }

    /// The bytes from a position to the end of its piece; empty behind the last one.
    pub fn piece_from(&self, position: usize) -> &[u8] {
        let mut start = 0;
        for piece in self.pieces() {
            if position < start + piece.len() {
                return &piece[position - start..];
            }
            start += piece.len();
        }
        &[]
    }
}

/// Bytes outside any account, as programs and tests give them.
impl From<Vec<u8>> for HeldBytes {
    fn from(bytes: Vec<u8>) -> Self {
        let mut storage = Storage::default();
        storage.small = bytes;
        Self(Arc::new(storage))
    }
}

impl PartialEq for HeldBytes {
    fn eq(&self, other: &Self) -> bool {
        self.pieces().flatten().eq(other.pieces().flatten())
    }
}

impl Eq for HeldBytes {}

impl fmt::Debug for HeldBytes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.len())
    }
}
