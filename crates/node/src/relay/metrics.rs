//! Figures about relayed connections.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// Figures about relayed connections.
#[derive(Default)]
pub(crate) struct RelayMetrics {
    openings: Family<ResultLabel, Counter>,
    served: Family<ResultLabel, Counter>,
    /// Requests of this node that went through another.
    pub(crate) relayed_requests: Counter,
    /// Tunnels that this node serves now.
    pub(crate) tunnels: Gauge,
    /// Bytes that passed through this node for others.
    pub(crate) bytes: Counter,
}

impl RelayMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_openings",
            "Tunnels asked of other nodes: connected, or why not",
            self.openings.clone(),
        );
        registry.register(
            "relay_served",
            "Tunnels that other nodes asked of this one: connected, or why not",
            self.served.clone(),
        );
        registry.register(
            "relayed_requests",
            "Requests of this node that went through another",
            self.relayed_requests.clone(),
        );
        registry.register(
            "relay_tunnels",
            "Tunnels that this node serves now",
            self.tunnels.clone(),
        );
        registry.register(
            "relay_bytes",
            "Bytes that passed through this node for others",
            self.bytes.clone(),
        );
    }

    pub(crate) fn opened(&self, result: &'static str) {
        self.openings.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn served(&self, result: &'static str) {
        self.served.get_or_create(&ResultLabel { result }).inc();
    }
}
