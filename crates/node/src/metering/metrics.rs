//! Measures of usage windows and of the datagrams that tell counts.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WindowLabels {
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BytesLabels {
    kind: &'static str,
}

/// Measures of usage.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageMetrics {
    windows: Family<WindowLabels, Counter>,
    nodes_missing: Gauge,
    nodes_gone: Gauge,
    bytes: Family<BytesLabels, Counter>,
    left_out: Counter,
}

impl UsageMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "usage_windows",
            "Usage windows recorded: complete, or incomplete",
            self.windows.clone(),
        );
        registry.register(
            "usage_window_nodes_missing",
            "Nodes that live and had not told all of the window that was recorded last",
            self.nodes_missing.clone(),
        );
        registry.register(
            "usage_window_nodes_gone",
            "Processes that were gone before they told all of the window that was recorded last",
            self.nodes_gone.clone(),
        );
        registry.register(
            "usage_left_out",
            "Times that usage windows were left out after a restore of the store",
            self.left_out.clone(),
        );
        registry.register(
            "usage_sent_bytes",
            "Bytes of datagrams about usage without headers: placers, counts, copy, ack, digest",
            self.bytes.clone(),
        );
    }

    /// Counts a window that was recorded.
    pub(crate) fn recorded(&self, is_complete: bool, nodes_missing: usize, nodes_gone: usize) {
        let result = if is_complete { "complete" } else { "incomplete" };
        self.windows.get_or_create(&WindowLabels { result }).inc();
        self.nodes_missing.set(nodes_missing as i64);
        self.nodes_gone.set(nodes_gone as i64);
    }

    /// Counts a restore after which windows were left out.
    pub(crate) fn left_out(&self) {
        self.left_out.inc();
    }

    /// Counts a datagram.
    pub(super) fn sent(&self, kind: &'static str, bytes: usize) {
        self.bytes
            .get_or_create(&BytesLabels { kind })
            .inc_by(bytes as u64);
    }
}
