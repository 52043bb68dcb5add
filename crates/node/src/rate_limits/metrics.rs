//! Figures about engines' rate limits.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// Figures about engines' rate limits.
#[derive(Default)]
pub(crate) struct RateLimitMetrics {
    slots: Family<ResultLabel, Counter>,
    /// Engines in use that name a rate limit.
    pub(crate) engines_limited: Gauge,
    /// Engines of which this node gave out slots of late.
    pub(crate) engines_kept: Gauge,
}

impl RateLimitMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engine_slots",
            "Slots at engines with a rate limit: granted, denied, or no answer of their owner",
            self.slots.clone(),
        );
        registry.register(
            "engines_limited",
            "Engines in use that name a rate limit",
            self.engines_limited.clone(),
        );
        registry.register(
            "engine_slots_kept",
            "Engines of which this node gave out slots of late",
            self.engines_kept.clone(),
        );
    }

    pub(crate) fn slot(&self, result: &'static str) {
        self.slots.get_or_create(&ResultLabel { result }).inc();
    }
}
