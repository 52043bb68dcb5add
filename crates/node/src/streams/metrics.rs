//! Figures about streams that are continued at another engine, and of those that are not.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::streams::StreamOrigin;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabel {
    version: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabels {
    ended_by: &'static str,
    cause: &'static str,
    not_continued: &'static str,
}

/// Figures about streams that are continued at another engine, and of those that are not.
#[derive(Default)]
pub(crate) struct StreamMetrics {
    continued: Family<VersionLabel, Counter>,
    taken_up: Family<ResultLabel, Counter>,
    cut: Family<CutLabels, Counter>,
    kept: Family<ResultLabel, Counter>,
    /// Streams in the registry.
    pub(crate) known: Gauge,
}

impl StreamMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "streams_continued",
            "Streams that another engine continued within an answer, by its software version against the one that began: same, other, unknown",
            self.continued.clone(),
        );
        registry.register(
            "streams_taken_up",
            "Streams that callers took up from an earlier answer: known_here, known_at_peer; refused as not_known, ambiguous, records_incomplete, other_pool",
            self.taken_up.clone(),
        );
        registry.register(
            "streams_cut",
            "Streams that had begun and were closed without their end: by caller, deadline, engine, node (its own conclusion) or stop; why the last dispatch counted as broken, and why no engine continued it",
            self.cut.clone(),
        );
        registry.register(
            "streams_kept",
            "Runs of silent engines that were kept while another engine was looked for: taken_over, engine_went_on, not_continued; or why their connection broke",
            self.kept.clone(),
        );
        registry.register(
            "streams_known",
            "Streams whose origin this node knows",
            self.known.clone(),
        );
    }

    /// Counts a stream that a caller takes up.
    pub(crate) fn count_taken_up(&self, result: &'static str) {
        self.taken_up.get_or_create(&ResultLabel { result }).inc();
    }

    /// Counts a stream that is closed without its end.
    pub(crate) fn count_cut(&self, ended_by: &'static str, cause: &'static str, not_continued: &'static str) {
        let labels = CutLabels {
            ended_by,
            cause,
            not_continued,
        };
        self.cut.get_or_create(&labels).inc();
    }

    /// Counts how the time of a kept run ended.
    pub(crate) fn count_kept(&self, result: &'static str) {
        self.kept.get_or_create(&ResultLabel { result }).inc();
    }

    /// Counts a continuation; the name of how the versions compare.
    pub(crate) fn count_continued(&self, began: &StreamOrigin, continued: &StreamOrigin) -> &'static str {
        let version = match (&began.software_version, &continued.software_version) {
            (Some(began), Some(continued)) if began == continued => "same",
            (Some(_), Some(_)) => "other",
            _ => "unknown",
        };
        self.continued.get_or_create(&VersionLabel { version }).inc();
        version
    }
}
