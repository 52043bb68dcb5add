//! Counts and gauges of the quarantine.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::quarantine::Counts;

/// Why a request was not handed to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// What is measured of the quarantine.
#[derive(Default)]
pub(crate) struct QuarantineMetrics {
    crashes: Counter,
    withheld: Family<CauseLabel, Counter>,
    suspected: Gauge,
    quarantined: Gauge,
    suspected_parts: Gauge,
    quarantined_parts: Gauge,
}

impl QuarantineMetrics {
    /// Registers everything at zero.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "crashes_charged",
            "Crashes of engines that were charged to a request under way there, by this node",
            self.crashes.clone(),
        );
        registry.register(
            "withheld",
            "Requests that were not handed to an engine, since engines had crashed under them",
            self.withheld.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests that run alone, since one more crash would put them into quarantine",
            self.suspected.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are refused, since engines crashed under them",
            self.quarantined.clone(),
        );
        registry.register(
            "suspected_parts",
            "Parts of prompts of which requests run alone, since engines crashed under requests with them",
            self.suspected_parts.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Parts of prompts of which requests are refused, since engines crashed under requests with them",
            self.quarantined_parts.clone(),
        );
    }

    pub(crate) fn crash_charged(&self) {
        self.crashes.inc();
    }

    pub(crate) fn withheld(&self, cause: &'static str) {
        self.withheld.get_or_create(&CauseLabel { cause }).inc();
    }

    pub(crate) fn note_counts(&self, counts: Counts) {
        self.suspected.set(counts.suspected as i64);
        self.quarantined.set(counts.quarantined as i64);
        self.suspected_parts.set(counts.suspected_parts as i64);
        self.quarantined_parts.set(counts.quarantined_parts as i64);
    }
}
