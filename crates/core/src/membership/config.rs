//! Settings of membership, in milliseconds and bytes.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Timings and budgets of one node's membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipConfig {
    /// Time between ticks.
    pub tick_millis: u64,
    /// Bytes of facts and digests sent a second, headers included.
    pub spread_bytes_per_second: u64,
    /// Bytes of facts and digests that may be sent at once after a quiet time.
    pub spread_burst_bytes: u64,
    /// Bytes of beats sent a second, headers included; their own, so that a storm of facts does not age all loads.
    pub beat_bytes_per_second: u64,
    /// Bytes of probes and their answers sent a second, headers included.
    pub probe_bytes_per_second: u64,
    /// Time between probes of one watched node.
    pub probe_interval_millis: u64,
    /// Silence after which a watched node or engine is suspected.
    pub suspect_after_millis: u64,
    /// Time that a suspicion stands open to refutation before a second witness may confirm it.
    pub confirm_after_millis: u64,
    /// Engine polls in a row without an answer that make an engine silent.
    pub missed_polls: u32,
    /// Times that each node passes on a fact.
    pub fact_sends: u8,
    /// Times that each node passes on a beat.
    pub beat_sends: u8,
    /// Bytes a second of the zone's own load beats that a node sends; sets how often loads are published.
    pub load_bytes_per_second: u64,
    /// Shortest time between two load beats of one engine.
    pub load_interval_millis: u64,
    /// Bytes of one status question to an engine with its answer, headers included; measured, see docs/CAPACITY.md.
    pub poll_bytes: u64,
    /// Bytes a second that a node spends on asking engines; sets how often each is asked.
    pub poll_bytes_per_second: u64,
    /// Time between digests sent to a peer.
    pub digest_interval_millis: u64,
    /// Time that a dead subject is remembered, longer than the longest cut that is expected.
    pub retention_millis: u64,
    /// Time that the list must call a leaving machine live before the mark is taken back.
    pub leaving_hold_millis: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            tick_millis: 250,
            spread_bytes_per_second: 850,
            beat_bytes_per_second: 750,
            spread_burst_bytes: 16_384,
            probe_bytes_per_second: 250,
            probe_interval_millis: 2_000,
            suspect_after_millis: 5_000,
            confirm_after_millis: 2_500,
            missed_polls: 2,
            fact_sends: 4,
            beat_sends: 2,
            load_bytes_per_second: 420,
            load_interval_millis: 1_000,
            poll_bytes: 1_300,
            poll_bytes_per_second: 800,
            digest_interval_millis: 10_000,
            retention_millis: 2 * 60 * 60 * 1_000,
            leaving_hold_millis: 60_000,
        }
    }
}

impl MembershipConfig {
    /// Every setting that is out of its range.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut check = |field: &str, value: u64, lowest: u64, highest: u64| {
            if value < lowest || value > highest {
                errors.push(FieldError {
                    field: format!("membership.{field}"),
                    value: value.to_string(),
                    allowed: format!("{lowest} to {highest}"),
                });
            }
        };
        check("tick_millis", self.tick_millis, 10, 1_000);
        check(
            "spread_bytes_per_second",
            self.spread_bytes_per_second,
            200,
            1_000_000,
        );
        check("spread_burst_bytes", self.spread_burst_bytes, 4_096, 1_048_576);
        check(
            "probe_bytes_per_second",
            self.probe_bytes_per_second,
            100,
            100_000,
        );
        check("probe_interval_millis", self.probe_interval_millis, 20, 60_000);
        check(
            "suspect_after_millis",
            self.suspect_after_millis,
            2 * self.probe_interval_millis,
            600_000,
        );
        check("confirm_after_millis", self.confirm_after_millis, 10, 600_000);
        check(
            "beat_bytes_per_second",
            self.beat_bytes_per_second,
            100,
            1_000_000,
        );
        check("missed_polls", u64::from(self.missed_polls), 1, 100);
        check("fact_sends", u64::from(self.fact_sends), 2, 20);
        check("beat_sends", u64::from(self.beat_sends), 1, 20);
        check(
            "load_bytes_per_second",
            self.load_bytes_per_second,
            50,
            self.beat_bytes_per_second,
        );
        check("load_interval_millis", self.load_interval_millis, 50, 60_000);
        check("poll_bytes", self.poll_bytes, 100, 1_000_000);
        check(
            "poll_bytes_per_second",
            self.poll_bytes_per_second,
            100,
            1_000_000,
        );
        check(
            "digest_interval_millis",
            self.digest_interval_millis,
            100,
            600_000,
        );
        check(
            "retention_millis",
            self.retention_millis,
            self.confirm_after_millis,
            u64::MAX,
        );
        check("leaving_hold_millis", self.leaving_hold_millis, 0, u64::MAX);
        errors
    }
}
