//! Figures and log lines about the plans of regions; a deployment that is not regional has none.

use super::scopes::region_label;
use crate::context::Context;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_core::roles::region_sums::PlanHold;
use shelfjunction_core::roles::regional::{PlanScope, ScopeStatus};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ScopeLabels {
    region: String,
    pool: String,
    kind: &'static str,
}

/// Figures about the plans of regions, at the node that holds the lease.
#[derive(Default)]
pub(crate) struct RegionalRoleMetrics {
    present: Family<ScopeLabels, Gauge>,
    wanted_decode: Family<ScopeLabels, Gauge<f64, AtomicU64>>,
    loads: Family<ScopeLabels, Gauge<f64, AtomicU64>>,
    sum_age: Family<ScopeLabels, Gauge<f64, AtomicU64>>,
}

impl RegionalRoleMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "region_role_engines",
            "Engines of a region by stage, those on their way included",
            self.present.clone(),
        );
        registry.register(
            "region_role_decode_wanted",
            "Fewest and most decode engines that a region wants",
            self.wanted_decode.clone(),
        );
        registry.register(
            "region_role_load",
            "Highest loads of late of a region, in engines: prefill, outputs",
            self.loads.clone(),
        );
        registry.register(
            "region_sum_age_seconds",
            "Age of the newest report of another region's demand",
            self.sum_age.clone(),
        );
    }

    fn set(&self, status: &ScopeStatus, age: Option<Duration>) {
        let labels = |kind| ScopeLabels {
            region: region_label(&status.scope).to_owned(),
            pool: status.scope.pool.to_string(),
            kind,
        };
        let present = |kind, count: usize| self.present.get_or_create(&labels(kind)).set(count as i64);
        present("prefill", status.prefill);
        present("decode", status.decode);
        let (fewest, most) = status.wanted_decode;
        self.wanted_decode.get_or_create(&labels("fewest")).set(fewest);
        self.wanted_decode.get_or_create(&labels("most")).set(most);
        let prefill = status.peaks.reading.unwrap_or_default();
        self.loads.get_or_create(&labels("prefill")).set(prefill);
        self.loads
            .get_or_create(&labels("outputs"))
            .set(status.peaks.outputs);
        if let Some(age) = age {
            self.sum_age
                .get_or_create(&labels("newest"))
                .set(age.as_secs_f64());
        }
    }

    fn clear(&self) {
        self.present.clear();
        self.wanted_decode.clear();
        self.loads.clear();
        self.sum_age.clear();
    }
}

/// What was last reported of each scope.
#[derive(Default)]
pub(super) struct StatusReport {
    holds: BTreeMap<PlanScope, Option<&'static str>>,
}

impl StatusReport {
    /// Sets the figures, and logs a line for each region that has begun or ceased to be left unchanged.
    pub(super) fn report(&mut self, context: &Context, scopes: &[ScopeStatus], now: MonotonicTime) {
        for status in scopes {
            let Some(region) = &status.scope.region else {
                continue;
            };
            let age = lock(&context.region_sums).age(region, &status.scope.pool, now);
            context.metrics.regional_roles.set(status, age);
            let hold = status.hold.map(PlanHold::name);
            let before = self.holds.insert(status.scope.clone(), hold);
            if before.is_none_or(|before| before != hold) {
                log_status(status, age);
            }
        }
    }

    /// Forgets everything: this node plans no longer.
    pub(super) fn clear(&mut self, context: &Context) {
        if !self.holds.is_empty() {
            self.holds.clear();
            context.metrics.regional_roles.clear();
        }
    }
}

fn log_status(status: &ScopeStatus, age: Option<Duration>) {
    let (fewest_decode, most_decode) = status.wanted_decode;
    let (reporting, usual) = match status.hold {
        Some(PlanHold::TooFewPlacers { reporting, usual }) => (Some(reporting), Some(usual)),
        _ => (None, None),
    };
    log::info!(
        region = region_label(&status.scope),
        pool:% = status.scope.pool,
        state = status.hold.map_or("planned", PlanHold::name),
        prefill = status.prefill,
        decode = status.decode,
        fewest_decode,
        most_decode,
        reading_engines = status.peaks.reading.unwrap_or_default(),
        output_engines = status.peaks.outputs,
        sum_age_millis:? = age.map(|age| age.as_millis()),
        reporting:? = reporting,
        usual:? = usual;
        "region_roles"
    );
}
