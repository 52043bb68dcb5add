//! Counts of what engines said of themselves.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// Counts of what engines said of themselves.
#[derive(Default)]
pub(crate) struct SignalMetrics {
    draining: Family<SourceLabel, Counter>,
    backoffs: Counter,
    held_back: Family<CauseLabel, Counter>,
}

impl SignalMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engines_draining",
            "Engines that were learned to drain, by the source",
            self.draining.clone(),
        );
        registry.register(
            "engine_backoffs",
            "Refusals that asked this node for a time without requests",
            self.backoffs.clone(),
        );
        registry.register(
            "dispatches_held_back",
            "Dispatches that did not leave because of what their engine said of itself after it was chosen",
            self.held_back.clone(),
        );
    }

    /// Counts an engine that is newly known to drain.
    pub(crate) fn draining_announced(&self, source: &'static str) {
        self.draining.get_or_create(&SourceLabel { source }).inc();
    }

    /// Counts a dispatch that did not leave.
    pub(crate) fn held_back(&self, cause: &'static str) {
        self.held_back.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a refusal that asked for a time without requests.
    pub(crate) fn backoff_asked(&self) {
        self.backoffs.inc();
    }
}
