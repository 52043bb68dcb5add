//! Gauges of how far the paces of engines lie apart.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::routing::pool::PaceSpread;
use std::sync::atomic::AtomicU64;

/// Gauges of how far the paces of engines lie apart; zero where they don't decide.
#[derive(Clone, Debug, Default)]
pub(crate) struct PaceMetrics {
    lasting_least: Gauge<f64, AtomicU64>,
    lasting_most: Gauge<f64, AtomicU64>,
    momentary_most: Gauge<f64, AtomicU64>,
    known_now: Gauge,
    persistence_seconds: Gauge<f64, AtomicU64>,
}

impl PaceMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let factors = [
            (
                "engine_lasting_factor_least",
                "Least lasting factor by which work takes longer at an engine than is usual",
                &self.lasting_least,
            ),
            (
                "engine_lasting_factor_most",
                "Greatest lasting factor by which work takes longer at an engine than is usual",
                &self.lasting_most,
            ),
            (
                "engine_momentary_factor_most",
                "Greatest factor by which work takes longer at an engine at this moment",
                &self.momentary_most,
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
            self.known_now.clone(),
        );
    }

    pub(crate) fn note(&self, spread: &PaceSpread) {
        self.lasting_least.set(spread.lasting_least);
        self.lasting_most.set(spread.lasting_most);
        self.momentary_most.set(spread.momentary_most);
        self.known_now.set(spread.known_now as i64);
        self.persistence_seconds.set(spread.persistence_seconds);
    }
}
