//! Bounds of the server.

use serde::{Deserialize, Serialize};
use shelfjunction_core::setting::FieldError;
use std::time::Duration;

/// Most headers that one request may carry; more are refused as a head that is too large.
pub const MAXIMUM_HEADERS: usize = 64;

/// Longest time that may be set, in milliseconds: one hour.
const MAXIMUM_MILLIS: u64 = 3_600_000;

/// Bounds on connections, sizes and waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpLimits {
    /// Most connections at once; each has one thread. Further ones are answered 503 and closed.
    pub connections: usize,
    /// Longest request line and headers, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a head's first byte to its last, in milliseconds.
    pub head_millis: u64,
    /// Longest time that a connection may wait for its next request, in milliseconds.
    pub idle_millis: u64,
    /// Longest time to read a body, in milliseconds.
    pub body_millis: u64,
    /// Longest time that one write to a slow reader may block, in milliseconds.
    pub write_millis: u64,
    /// Memory of the machine, in megabytes; bounds the bodies of all requests together (`shelfjunction_core::buffering`).
    pub memory_megabytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_millis: 5_000,
            idle_millis: 60_000,
            body_millis: 30_000,
            write_millis: 10_000,
            memory_megabytes: 256,
        }
    }
}

impl HttpLimits {
    /// Every wrong setting; fields are named below `section`.
    pub fn validate(&self, section: &str) -> Vec<FieldError> {
        let counts = [
            ("connections", self.connections as u64, 1, 65_536),
            ("head_bytes", self.head_bytes as u64, 256, 1024 * 1024),
            ("body_bytes", self.body_bytes as u64, 1, 1024 * 1024 * 1024),
            ("head_millis", self.head_millis, 1, MAXIMUM_MILLIS),
            ("idle_millis", self.idle_millis, 1, MAXIMUM_MILLIS),
            ("body_millis", self.body_millis, 1, MAXIMUM_MILLIS),
            ("write_millis", self.write_millis, 1, MAXIMUM_MILLIS),
            ("memory_megabytes", self.memory_megabytes as u64, 16, 1024 * 1024),
        ];
        counts
            .into_iter()
            .filter(|(_, value, least, most)| value < least || value > most)
            .map(|(field, value, least, most)| FieldError {
                field: format!("{section}.{field}"),
                value: value.to_string(),
                allowed: format!("{least} to {most}"),
            })
            .collect()
    }

    pub(crate) fn head_time(&self) -> Duration {
        Duration::from_millis(self.head_millis)
    }

    pub(crate) fn idle_time(&self) -> Duration {
        Duration::from_millis(self.idle_millis)
    }

    pub(crate) fn body_time(&self) -> Duration {
        Duration::from_millis(self.body_millis)
    }

    pub(crate) fn write_time(&self) -> Duration {
        Duration::from_millis(self.write_millis)
    }
}
