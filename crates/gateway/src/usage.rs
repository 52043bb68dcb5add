//! What each tenant used of this gateway, for operators only.

use shelfjunction_core::identity::TenantId;
use shelfjunction_core::outcome::Outcome;
use shelfjunction_protocol::operator::TenantUsage;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Counts by tenant since the gateway started.
#[derive(Debug, Default)]
pub(crate) struct UsageTable {
    tenants: Mutex<BTreeMap<TenantId, TenantUsage>>,
}

impl UsageTable {
    /// Counts a request that begins.
    pub(crate) fn begin(&self, tenant: &TenantId) {
        self.change(tenant, |usage| usage.in_flight += 1);
    }

    /// Counts a request that ended; absent outcome: its caller went away while it ran.
    pub(crate) fn end(&self, tenant: &TenantId, outcome: Option<&Outcome>, prompt: u32, output: u32) {
        self.change(tenant, |usage| {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            usage.requests += 1;
            match outcome {
                Some(Outcome::Completed) => {
                    usage.prompt_tokens += u64::from(prompt);
                    usage.output_tokens += u64::from(output);
                }
                Some(Outcome::NotRun(_)) => usage.not_run += 1,
                _ => {}
            }
        });
    }

    /// Every tenant's counts, by identifier.
    pub(crate) fn all(&self) -> Vec<TenantUsage> {
        lock(&self.tenants).values().cloned().collect()
    }

    fn change(&self, tenant: &TenantId, change: impl FnOnce(&mut TenantUsage)) {
        let mut tenants = lock(&self.tenants);
        let usage = tenants.entry(tenant.clone()).or_insert_with(|| TenantUsage {
            tenant: tenant.clone(),
            requests: 0,
            not_run: 0,
            prompt_tokens: 0,
            output_tokens: 0,
            in_flight: 0,
        });
        change(usage);
    }
}
