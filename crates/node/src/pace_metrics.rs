//! Gauges of how far the paces of engines lie apart.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::routing::pool::PaceSpread;
use std::sync::atomic::AtomicU64;

/// Gauges of how far the paces of engines lie apart; zero where they don't decide.
#[derive(Clone, Debug, Default)]
pub(crate) struct PaceMetrics {
    min_long_term: Gauge<f64, AtomicU64>,
    max_long_term: Gauge<f64, AtomicU64>,
    max_momentary: Gauge<f64, AtomicU64>,
    engines_with_current_pace: Gauge,
    persistence_seconds: Gauge<f64, AtomicU64>,
}

impl PaceMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let factors = [
            (
                "engine_lasting_factor_least",
                "Least lasting factor by which work takes longer at an engine than is usual",
                &self.min_long_term,
            ),
            (
                "engine_lasting_factor_most",
                "Greatest lasting factor by which work takes longer at an engine than is usual",
                &self.max_long_term,
            ),
            (
                "engine_momentary_factor_most",
                "Greatest factor by which work takes longer at an engine at this moment",
                &self.max_momentary,
            ),
            (
                "engine_figure_persistence_seconds",
                "Time for which a momentary figure holds, as learned",
                &self.persistence_seconds,
            ),
        ];
        for (name, help, gauge) in factors {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "engine_figures_known",
            "Engines whose momentary figure is known",
            self.engines_with_current_pace.clone(),
        );
    }

    pub(crate) fn note(&self, spread: &PaceSpread) {
        self.min_long_term.set(spread.min_long_term);
        self.max_long_term.set(spread.max_long_term);
        self.max_momentary.set(spread.max_momentary);
        self.engines_with_current_pace
            .set(spread.engines_with_current_pace as i64);
        self.persistence_seconds.set(spread.persistence_seconds);
    }
}
