//! Which engines should change their stage, planned for each region by itself.
//!
//! Each region is planned by [`super::pool`] from its own demand and its own engines, so a region never gives up a stage for the
//! sake of another one. In a deployment that is not regional there is one plan for all engines of a pool, which gives the same
//! changes as [`plan_round`] alone.
//!
//! ```text
//! own region     loads from the lease holder's router
//! other regions  loads from the reports of their placers (`super::region_sums`)
//! changes        plan_round(engines of the region, highest loads of late), at most one round in the settle time of the region
//! unchanged      while reports are missing or too old
//! ```
//!
//! A change that would leave a region without an engine in service at the stage that the engine leaves is not made: an engine
//! that changes its stage counts towards the new one, but serves nothing for seconds.

use super::pool::{PeakLoads, PoolEngineView, PoolRolePolicy, StageChange, plan_round, wanted_decode_range};
use super::region_sums::{PlanHold, RegionLoads};
use crate::forwarding::PoolId;
use crate::identity::{EngineId, RegionId};
use crate::routing::pool::EngineStage;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The engines that one plan is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanScope {
    /// The region; absent in a deployment that is not regional.
    pub region: Option<RegionId>,
    /// The pool.
    pub pool: PoolId,
}

/// What is known of a scope now.
#[derive(Clone, Debug)]
pub struct ScopeInput {
    /// The scope.
    pub scope: PlanScope,
    /// Its engines.
    pub engines: Vec<PoolEngineView>,
    /// Those of them that are ordered to another stage and not in service.
    pub changing: BTreeSet<EngineId>,
    /// Its loads, or why it is left unchanged.
    pub loads: Result<RegionLoads, PlanHold>,
    /// Load that the operators expect of the engines of the whole pool, in engines.
    pub expected: Option<f64>,
    /// Digest of the list entries of the scope's engines; it changes as engines come and go.
    pub listing: u64,
}

/// Time for which the list of a region's engines must not have changed before a change of stage: what is missing may be about to
/// come.
pub const LIST_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// A change of stage in a region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionalChange {
    /// Where.
    pub scope: PlanScope,
    /// The change.
    pub change: StageChange,
}

/// A scope as it was last looked at, for metrics and logs.
#[derive(Clone, Debug, PartialEq)]
pub struct ScopeStatus {
    /// The scope.
    pub scope: PlanScope,
    /// Prefill engines present, those on their way included.
    pub prefill: usize,
    /// Decode engines present, those on their way included.
    pub decode: usize,
    /// Fewest and most decode engines that are wanted.
    pub wanted_decode: (f64, f64),
    /// Highest loads of late.
    pub peaks: PeakLoads,
    /// Why the scope is left unchanged, if it is.
    pub hold: Option<PlanHold>,
}

/// Plans the stages of all regions. Holds the highest loads of late.
#[derive(Clone, Debug, Default)]
pub struct RolePlanner {
    peaks: BTreeMap<PlanScope, PeakLoads>,
    next_round_at: BTreeMap<Option<RegionId>, MonotonicTime>,
    /// Digest of each scope's list, and since when it is the same.
    listings: BTreeMap<PlanScope, (u64, MonotonicTime)>,
}

impl RolePlanner {
    /// Takes the loads of now. Scopes without known loads keep what was seen before.
    pub fn observe(&mut self, inputs: &[ScopeInput], policy: &PoolRolePolicy, now: MonotonicTime) {
        for input in inputs {
            let listing = self.listings.entry(input.scope.clone());
            let (digest, since) = listing.or_insert((input.listing, now));
            if std::mem::replace(digest, input.listing) != input.listing {
                *since = now;
            }
            let Ok(loads) = input.loads else { continue };
            let expected = expected_load(input, inputs);
            let peaks = self.peaks.entry(input.scope.clone()).or_default();
            if let Some(expected) = expected.filter(|_| !peaks.is_seen) {
                peaks.expect(expected, now);
            }
            peaks.observe_measured(loads.outputs, loads.demand, policy.hold(), now);
        }
    }

    /// The changes to make now: in each region that is due, those of the first pool that needs any. `has_reserve` says whether
    /// unused engines are what is wanted already; an order would take an engine out of service for nothing.
    pub fn round(
        &mut self,
        inputs: &[ScopeInput],
        policy: &PoolRolePolicy,
        has_reserve: impl Fn(&PlanScope, EngineStage) -> bool,
        now: MonotonicTime,
    ) -> Vec<RegionalChange> {
        if !policy.enabled {
            return Vec::new();
        }
        let mut round: Vec<RegionalChange> = Vec::new();
        let mut planned = BTreeSet::new();
        for input in inputs {
            let region = &input.scope.region;
            // Other pools of a region follow in later rounds.
            let is_due = self.is_region_due(region, now) && self.is_region_settled(region, now);
            if planned.contains(region) || !is_due || input.loads.is_err() {
                continue;
            }
            let mut changes = self.changes(input, policy);
            changes.retain(|change| !has_reserve(&input.scope, change.to));
            if changes.is_empty() {
                continue;
            }
            let settle = Duration::from_millis(policy.settle_millis);
            self.next_round_at.insert(region.clone(), now + settle);
            planned.insert(region.clone());
            round.extend(changes.into_iter().map(|change| RegionalChange {
                scope: input.scope.clone(),
                change,
            }));
        }
        round
    }

    /// Present and wanted engines of each scope.
    pub fn status(&self, inputs: &[ScopeInput], policy: &PoolRolePolicy) -> Vec<ScopeStatus> {
        let status = inputs.iter().map(|input| {
            let peaks = self.peaks.get(&input.scope).copied().unwrap_or_default();
            let present = |stage| {
                input
                    .engines
                    .iter()
                    .filter(|engine| engine.stage == stage)
                    .count()
            };
            ScopeStatus {
                scope: input.scope.clone(),
                prefill: present(EngineStage::Prefill),
                decode: present(EngineStage::Decode),
                wanted_decode: wanted_decode_range(&input.engines, peaks, policy),
                peaks,
                hold: input.loads.err(),
            }
        });
        status.collect()
    }

    fn is_region_due(&self, region: &Option<RegionId>, now: MonotonicTime) -> bool {
        self.next_round_at.get(region).is_none_or(|at| now >= *at)
    }

    /// Whether no engines of a region have come or gone for a while. Without regions the caller looks at the whole list.
    fn is_region_settled(&self, region: &Option<RegionId>, now: MonotonicTime) -> bool {
        let mut of_region = self.listings.iter().filter(|(scope, _)| scope.region == *region);
        region.is_none() || of_region.all(|(_, (_, since))| now.since(*since) >= LIST_SETTLE_TIME)
    }

    fn changes(&self, input: &ScopeInput, policy: &PoolRolePolicy) -> Vec<StageChange> {
        let Some(peaks) = self.peaks.get(&input.scope) else {
            return Vec::new();
        };
        let changes = plan_round(&input.engines, *peaks, policy);
        if input.scope.region.is_none() {
            return changes;
        }
        keep_one_in_service(changes, input)
    }
}

/// Share of the expected load of a pool that falls to a scope: that of its engines.
fn expected_load(input: &ScopeInput, inputs: &[ScopeInput]) -> Option<f64> {
    let expected = input.expected?;
    if input.scope.region.is_none() {
        return Some(expected);
    }
    let of_pool = inputs.iter().filter(|other| other.scope.pool == input.scope.pool);
    let engines: usize = of_pool.map(|other| other.engines.len()).sum();
    Some(expected * input.engines.len() as f64 / engines.max(1) as f64)
}

/// The first of the changes, as many as leave an engine in service at the stage that engines leave.
fn keep_one_in_service(changes: Vec<StageChange>, input: &ScopeInput) -> Vec<StageChange> {
    let Some(first) = changes.first() else {
        return changes;
    };
    let changed = input.engines.iter().find(|engine| engine.engine == first.engine);
    let Some(leaving) = changed.map(|engine| engine.stage) else {
        return Vec::new();
    };
    let in_service: BTreeSet<&EngineId> = input
        .engines
        .iter()
        .filter(|engine| engine.stage == leaving && !input.changing.contains(&engine.engine))
        .map(|engine| &engine.engine)
        .collect();
    let mut left = in_service.len();
    let mut kept = Vec::new();
    for change in changes {
        if in_service.contains(&change.engine) {
            if left <= 1 {
                break;
            }
            left -= 1;
        }
        kept.push(change);
    }
    kept
}
