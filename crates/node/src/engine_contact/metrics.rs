//! Figures about connections to engines.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::io::{self, ErrorKind};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChangeLabels {
    scope: &'static str,
    change: &'static str,
}

/// Figures about connections to engines.
#[derive(Default)]
pub(crate) struct ContactMetrics {
    connections: Family<ResultLabel, Counter>,
    changes: Family<ChangeLabels, Counter>,
    /// Whether this node reaches no engine.
    pub(crate) lost: Gauge,
    /// Engines that this node does not reach and another does.
    pub(crate) lost_paths: Gauge,
}

impl ContactMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engine_connections",
            "New connections to engines: opened, refused, timed_out, failed",
            self.connections.clone(),
        );
        registry.register(
            "engine_contact_changes",
            "Losses and restorations of contact with all engines, those of a zone, or one",
            self.changes.clone(),
        );
        registry.register(
            "engine_paths_lost",
            "Engines that this node does not reach and another does",
            self.lost_paths.clone(),
        );
        registry.register(
            "engine_contact_lost",
            "Whether this node reaches no engine",
            self.lost.clone(),
        );
    }

    pub(crate) fn changed(&self, scope: &'static str, change: &'static str) {
        self.changes.get_or_create(&ChangeLabels { scope, change }).inc();
    }

    pub(crate) fn connected<T>(&self, connected: &io::Result<T>) {
        let result = match connected {
            Ok(_) => "opened",
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            Err(error) if error.kind() == ErrorKind::TimedOut => "timed_out",
            Err(_) => "failed",
        };
        self.connections.get_or_create(&ResultLabel { result }).inc();
    }
}
