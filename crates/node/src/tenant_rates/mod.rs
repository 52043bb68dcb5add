//! Tenants' rates over all nodes: charges a request at the owner of its tenant's bucket, and answers as such an owner
//! ([`shelfjunction_core::tenancy::rate_owner`]).

mod charging;
mod contacting;
mod lending;
mod metrics;
mod owning;

pub(crate) use charging::{ChargeRefusal, ChargedRequest, charge};
pub(crate) use contacting::run as probe_silent_nodes;
pub(crate) use lending::receive_loan;
pub(crate) use metrics::TenantRateMetrics;
pub(crate) use owning::{receive, refresh_candidates};

use crate::questions::Questions;
use contacting::Contacts;
use shelfjunction_core::tenancy::rate_loans::TenantRateLoans;
use shelfjunction_core::tenancy::rate_owner::TenantRateOwner;
use shelfjunction_core::tenancy::rate_reserve::TenantRateReserves;
use shelfjunction_protocol::tenant_rate_messages::ChargeOutcome;
use std::sync::Mutex;

/// What a node knows of tenants' rates beside the configuration.
#[derive(Default)]
pub(crate) struct TenantRates {
    /// The buckets that this node owns.
    owner: Mutex<TenantRateOwner>,
    /// What this node granted in place of owners that did not answer.
    reserves: Mutex<TenantRateReserves>,
    /// What this node has borrowed.
    loans: Mutex<TenantRateLoans>,
    /// Which other nodes are reached or have ended.
    contacts: Contacts,
    questions: Questions<ChargeOutcome>,
}
