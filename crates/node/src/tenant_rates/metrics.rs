//! Counts of charges against tenants' rates.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use shelfjunction_protocol::tenant_rate_messages::ChargeOutcome;

/// What became of a charge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// What became of a loan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabel {
    event: &'static str,
}

/// What is measured of tenants' rates.
#[derive(Default)]
pub(crate) struct TenantRateMetrics {
    charges: Family<ResultLabel, Counter>,
    ended_nodes: Counter,
    loans: Family<EventLabel, Counter>,
}

impl TenantRateMetrics {
    /// Registers everything at zero.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "tenant_rate_charges",
            "Requests of tenants with a rate that were charged at the owner of the tenant's bucket",
            self.charges.clone(),
        );
        registry.register(
            "tenant_rate_ended_nodes",
            "Nodes that were found to have ended, so that their buckets are taken over at once",
            self.ended_nodes.clone(),
        );
        registry.register(
            "tenant_rate_loans",
            "Loans from the buckets of tenants' rates, as this node asked for them, lent, declined, recalled or got them back",
            self.loans.clone(),
        );
    }

    pub(crate) fn node_ended(&self) {
        self.ended_nodes.inc();
    }

    pub(crate) fn loan(&self, event: &'static str) {
        self.loans.get_or_create(&EventLabel { event }).inc();
    }

    pub(crate) fn charged_to_loan(&self) {
        let result = "granted_from_loan";
        self.charges.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn charged(&self, outcome: Option<&ChargeOutcome>) {
        let result = match outcome {
            Some(ChargeOutcome::Granted) => "granted",
            Some(ChargeOutcome::Denied { .. }) => "denied",
            Some(ChargeOutcome::ReserveUsedUp) => "reserve_used_up",
            Some(ChargeOutcome::NotOwner { .. }) | None => "no_answer",
        };
        self.charges.get_or_create(&ResultLabel { result }).inc();
    }
}
