//! How many bytes a process holds for others, and which request gives way when that is full.
//!
//! ```text
//! capacity    = memory of the machine * CAPACITY_PART       bytes of all requests and answers
//! large       = capacity * LARGE_PART                       a request of more than SMALL_REQUEST_BYTES finds room up to here
//! room        if held + asked <= capacity, or <= large for a large request, or if no other request is held
//! reads on    from an engine while held <= large, if the answer is small, or if no other answer is held
//! lag         = max(time since bytes came, time since the request began - bytes received / MIN_PACE)
//! gives way   the unfinished request of the longest lag, if that is MAX_LAG or more
//! connections = min((descriptors - kept free) / 2, memory * CONNECTIONS_PART / CONNECTION_BYTES)
//!               two descriptors each: one for the caller, one for the engine
//! kept free   = a quarter of the descriptors, between MIN_FREE_DESCRIPTORS and MAX_FREE_DESCRIPTORS
//! ```
//!
//! While a request waits for room its lag stands still: nothing is read from its connection then.

use std::time::Duration;

/// Part of the machine's memory for bytes that are held for others.
const CAPACITY_PART: f64 = 0.35;

/// Part of the capacity up to which large requests find room.
const LARGE_PART: f64 = 0.75;

/// Largest request, and largest answer, that finds room beside large ones, in bytes.
pub const SMALL_REQUEST_BYTES: usize = 16 * 1024;

/// Pace at which an unfinished request does not lag, in bytes a second: a link of 8 Mbit/s.
const MIN_PACE: f64 = 1_000_000.0;

/// Lag from which an unfinished request gives way to others.
const MAX_LAG: Duration = Duration::from_millis(500);

/// Longest wait of a request for room.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Part of the machine's memory for callers' connections, and the memory of one of them with its thread, in bytes.
const CONNECTIONS_PART: f64 = 0.3;
const CONNECTION_BYTES: f64 = 80_000.0;

/// Bounds of the descriptors that callers and engines leave to files, the store and other nodes.
const MIN_FREE_DESCRIPTORS: usize = 32;
const MAX_FREE_DESCRIPTORS: usize = 800;

/// Bytes of a megabyte, as machines are measured.
const MEGABYTE: usize = 1_000_000;

/// What a process may hold for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes of everything together.
    pub capacity: usize,
    /// Bytes up to which large requests find room.
    pub large: usize,
    /// Longest wait of a request for room.
    pub max_wait: Duration,
}

/// Bytes that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldTotals {
    /// Of requests, from their first byte until their last answer has ended.
    pub requests: usize,
    /// Of answers that engines have not ended.
    pub answers: usize,
    /// Of answers that callers have not taken.
    pub undelivered: usize,
}

impl HeldTotals {
    /// All of them.
    pub fn total(&self) -> usize {
        self.requests + self.answers + self.undelivered
    }
}

impl BufferLimits {
    /// The limits of a machine.
    pub fn of_memory(megabytes: usize) -> Self {
        let capacity = (megabytes.saturating_mul(MEGABYTE) as f64 * CAPACITY_PART) as usize;
        Self {
            capacity,
            large: (capacity as f64 * LARGE_PART) as usize,
            max_wait: MAX_WAIT,
        }
    }

    /// Whether a request that holds `own` bytes may hold `wanted` in their place.
    pub fn has_room(&self, held: &HeldTotals, own: usize, wanted: usize) -> bool {
        let limit = if wanted > 2 * SMALL_REQUEST_BYTES {
            self.large
        } else {
            self.capacity
        };
        let is_alone = held.requests <= own;
        is_alone || held.total() - own + wanted <= limit
    }

    /// Whether more of an answer, of which `own` bytes are held, is taken from its engine.
    pub fn reads_on(&self, held: &HeldTotals, own: usize) -> bool {
        let is_alone = held.answers <= own;
        own <= SMALL_REQUEST_BYTES || is_alone || held.total() <= self.large
    }
}

/// How an unfinished request comes in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Time since it began.
    pub age: Duration,
    /// Time since bytes came.
    pub silence: Duration,
    /// Bytes received.
    pub received: usize,
}

impl Progress {
    /// How far it is behind.
    pub fn lag(&self) -> Duration {
        let expected = Duration::from_secs_f64(self.received as f64 / MIN_PACE);
        self.age.saturating_sub(expected).max(self.silence)
    }

    /// Whether it is so far behind that it gives way to others.
    pub fn gives_way(&self) -> bool {
        self.lag() >= MAX_LAG
    }
}

/// The unfinished request that gives way to others, if one does.
pub fn request_to_drop<Key>(unfinished: impl Iterator<Item = (Key, Progress)>) -> Option<Key> {
    unfinished
        .filter(|(_, progress)| progress.gives_way())
        .max_by_key(|(_, progress)| progress.lag())
        .map(|(key, _)| key)
}

/// Callers' connections that a process may have open on a machine of so much memory and so many descriptors.
pub fn max_connections(megabytes: usize, descriptors: usize) -> usize {
    let free = (descriptors / 4).clamp(MIN_FREE_DESCRIPTORS, MAX_FREE_DESCRIPTORS);
    let by_descriptors = descriptors.saturating_sub(free) / 2;
    let memory = megabytes.saturating_mul(MEGABYTE) as f64;
    let by_memory = (memory * CONNECTIONS_PART / CONNECTION_BYTES) as usize;
    by_descriptors.min(by_memory).max(1)
}
