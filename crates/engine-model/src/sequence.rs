//! One sequence of the batch, counted in tokens.

use shelfjunction_core::engine::Phase;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::sync::Arc;

/// Names one sequence; never reused while the engine's process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey {
    pub(crate) slot: u32,
    pub(crate) serial: u32,
}

/// Work that a sequence brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceWork {
    /// Tokens to prefill: the prompt, and output that the caller already has.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's full blocks.
    pub prompt_blocks: Arc<[u64]>,
    /// Output tokens to produce; none for a prefill-only call.
    pub output_tokens: u32,
    /// Class; a lower one is prefilled first.
    pub class: ServiceClass,
    /// Phase to run.
    pub phase: Phase,
    /// Whether the KV cache comes from another engine and no prefill is needed.
    pub imported: bool,
}

/// Something that happened to a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchEvent {
    /// The sequence.
    pub key: SequenceKey,
    /// When.
    pub at: MonotonicTime,
    /// What.
    pub kind: BatchEventKind,
}

/// Kind of a batch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEventKind {
    /// The first output token is there.
    FirstToken,
    /// A prefill-only sequence is done.
    Prefilled,
    /// The last output token is there.
    Finished {
        /// Prompt tokens found in the prefix cache.
        cached_prompt_tokens: u32,
    },
}

/// Where a sequence stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Not in the batch yet.
    Waiting,
    /// Prompt tokens remain.
    Prefilling,
    /// Output tokens come; the first at the end of this step.
    Decoding {
        /// Count of completed steps at which the first token is there.
        first_step: u64,
    },
}

/// One sequence with its accounts.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub work: SequenceWork,
    pub progress: Progress,
    /// Prompt tokens that remain to prefill.
    pub prefill_left: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// KV cache held besides cached blocks, in tokens.
    pub reserved_tokens: u64,
}

impl Sequence {
    pub fn new(work: SequenceWork) -> Self {
        let prefill_left = if work.imported {
            0
        } else {
            work.prompt_tokens.max(1)
        };
        Self {
            work,
            progress: Progress::Waiting,
            prefill_left,
            cached_tokens: 0,
            reserved_tokens: 0,
        }
    }

    /// KV cache that the sequence needs at its longest, in tokens.
    pub fn longest_tokens(&self) -> u64 {
        u64::from(self.work.prompt_tokens) + u64::from(self.work.output_tokens)
    }

    /// Count of completed steps at which the last token is there.
    pub fn last_step(&self, first_step: u64) -> u64 {
        first_step + u64::from(self.work.output_tokens.max(1)) - 1
    }
}

/// Sequences in reusable slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct SequenceTable {
    slots: Vec<(u32, Option<Sequence>)>,
    free: Vec<u32>,
    count: u32,
}

impl SequenceTable {
    pub fn insert(&mut self, sequence: Sequence) -> SequenceKey {
        self.count += 1;
        if let Some(slot) = self.free.pop() {
            let entry = &mut self.slots[slot as usize];
            entry.0 = entry.0.wrapping_add(1);
            entry.1 = Some(sequence);
            return SequenceKey {
                slot,
                serial: entry.0,
            };
        }
        let slot = self.slots.len() as u32;
        self.slots.push((0, Some(sequence)));
        SequenceKey { slot, serial: 0 }
    }

    pub fn get(&self, key: SequenceKey) -> Option<&Sequence> {
        let (serial, sequence) = self.slots.get(key.slot as usize)?;
        sequence.as_ref().filter(|_| *serial == key.serial)
    }

    pub fn get_mut(&mut self, key: SequenceKey) -> Option<&mut Sequence> {
        let (serial, sequence) = self.slots.get_mut(key.slot as usize)?;
        let serial = *serial;
        sequence.as_mut().filter(|_| serial == key.serial)
    }

    pub fn remove(&mut self, key: SequenceKey) -> Option<Sequence> {
        let (serial, sequence) = self.slots.get_mut(key.slot as usize)?;
        if *serial != key.serial {
            return None;
        }
        let removed = sequence.take()?;
        self.free.push(key.slot);
        self.count -= 1;
        Some(removed)
    }

    pub fn len(&self) -> u32 {
        self.count
    }
}
