//! Counts of spillover between regions.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of requests with a prompt that were sent to engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServedLabels {
    place: &'static str,
    home_verdict: &'static str,
}

/// Labels of questions and answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
    reason: &'static str,
}

/// What is measured of spillover.
#[derive(Default)]
pub(crate) struct SpillMetrics {
    served: Family<ServedLabels, Counter>,
    questions: Family<ResultLabels, Counter>,
    answers: Family<ResultLabels, Counter>,
    /// Requests of other regions that this placer has accepted and that have not ended.
    pub(crate) accepted_in_flight: Gauge,
}

impl SpillMetrics {
    /// Registers everything at zero.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "region_requests",
            "Requests with a prompt by the region that serves them and the verdict of the home region",
            self.served.clone(),
        );
        registry.register(
            "spill_questions",
            "Questions to other regions whether they accept a request: asked, accepted, declined, timed_out",
            self.questions.clone(),
        );
        registry.register(
            "spill_answers",
            "Answers of this placer to nodes of other regions: accepted, declined",
            self.answers.clone(),
        );
        registry.register(
            "spill_accepted_in_flight",
            "Requests of other regions that this placer has accepted and that have not ended",
            self.accepted_in_flight.clone(),
        );
    }

    pub(crate) fn served(&self, place: &'static str, home_verdict: &'static str) {
        let labels = ServedLabels { place, home_verdict };
        self.served.get_or_create(&labels).inc();
    }

    pub(crate) fn question(&self, result: &'static str, reason: &'static str) {
        let labels = ResultLabels { result, reason };
        self.questions.get_or_create(&labels).inc();
    }

    pub(crate) fn answer(&self, result: &'static str, reason: &'static str) {
        let labels = ResultLabels { result, reason };
        self.answers.get_or_create(&labels).inc();
    }
}
