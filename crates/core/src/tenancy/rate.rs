//! The rate at which a tenant may have requests run, over all nodes.

use serde::{Deserialize, Serialize};

/// Parts of a unit in which rates are kept, so that they can be compared exactly.
const PARTS_PER_UNIT: f64 = 1_000.0;

/// What a tenant's rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateUnit {
    /// Each request as one.
    Requests,
    /// The prompt tokens of each request and the most that it may generate.
    Tokens {
        /// Tokens of a request that declares none.
        undeclared: u32,
    },
}

/// A tenant's rate and burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRate {
    /// What is counted.
    pub unit: RateUnit,
    /// Thousandths of a unit per second.
    rate_parts: u64,
    /// Thousandths of a unit beyond the rate.
    burst_parts: u64,
}

impl TenantRate {
    /// A rate in units per second, and a burst in units; absent if the rate is zero, negative or not finite, which is no limit, or
    /// the burst negative or not finite.
    pub fn new(unit: RateUnit, per_second: f64, burst: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second > 0.0 && burst.is_finite() && burst >= 0.0;
        is_valid.then_some(Self {
            unit,
            rate_parts: ((per_second * PARTS_PER_UNIT) as u64).max(1),
            burst_parts: (burst * PARTS_PER_UNIT) as u64,
        })
    }

    /// Units per second.
    pub fn per_second(&self) -> f64 {
        self.rate_parts as f64 / PARTS_PER_UNIT
    }

    /// Units beyond the rate.
    pub fn burst(&self) -> f64 {
        self.burst_parts as f64 / PARTS_PER_UNIT
    }

    /// Units of a request that declares so many tokens of its prompt and of its output, if it does.
    pub fn cost(&self, declared: Option<(u32, u32)>) -> u32 {
        match (self.unit, declared) {
            (RateUnit::Requests, _) => 1,
            (RateUnit::Tokens { .. }, Some((prompt, output))) => prompt.saturating_add(output),
            (RateUnit::Tokens { undeclared }, None) => undeclared,
        }
    }
}
