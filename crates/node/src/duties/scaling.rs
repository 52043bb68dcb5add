//! Orders engines that are paid by the second.

use super::{authority, holder};
use crate::config::AUTOSCALING;
use crate::context::Context;
use crate::ports::{DutyAnswer, PlatformDuties};
use shelfjunction_core::autoscaling::ordering::{OrderOutcome, ScaleOrders};
use shelfjunction_core::autoscaling::planner::{ScalingInput, carried, plan};
use shelfjunction_core::autoscaling::reclaim::LeavingEngines;
use shelfjunction_core::autoscaling::{EngineKind, PoolScaling, ScaleOrder, ZoneEngines};
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::roles::pool::{PeakLoads, PoolEngineView, SmoothLoad, load_now};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time from the first engine that was seen until the list shows all that the operators began with: engines enter
/// themselves one by one, each about once in a heartbeat of a second or so.
const LIST_FILLS: Duration = Duration::from_millis(3_600);

/// Most engines that were seen while the list filled.
#[derive(Clone, Copy, Debug)]
struct BeganWith {
    engines: u32,
    /// Whether any demand was seen since.
    has_demand: bool,
    first_seen_at: MonotonicTime,
}

impl BeganWith {
    fn is_known(&self, now: MonotonicTime) -> bool {
        now.since(self.first_seen_at) >= LIST_FILLS
    }
}

/// Scaling as this node sees it.
pub(super) struct ScalingDuty {
    orders: ScaleOrders,
    smooth: BTreeMap<PoolId, SmoothLoad>,
    peaks: BTreeMap<PoolId, PeakLoads>,
    /// Pools whose load was expected from what ran.
    expects: BTreeSet<PoolId>,
    /// Engines that the operators began with, by pool.
    began_with: BTreeMap<PoolId, BeganWith>,
    logged: BTreeMap<PoolId, Vec<ZoneEngines>>,
}

impl ScalingDuty {
    /// The duty; absent where no engines are ordered.
    pub(super) fn new(context: &Context) -> Option<Self> {
        let duties = context.config.duties.as_ref()?;
        let has_duty = duties.has(AUTOSCALING) && context.config.autoscaling.enabled;
        has_duty.then(|| Self {
            orders: ScaleOrders::default(),
            smooth: BTreeMap::new(),
            peaks: BTreeMap::new(),
            expects: BTreeSet::new(),
            began_with: BTreeMap::new(),
            logged: BTreeMap::new(),
        })
    }

    /// Looks at the demand and at what runs, also while another node holds the lease.
    pub(super) fn observe(&mut self, context: &Context) {
        let now = context.now();
        for (pool, scaling) in scaled_pools(context) {
            let (engines, demand) = lock(&context.router).role_planner_input(&pool, now);
            let load = load_now(&engines, demand);
            if let Some(load) = load {
                let smooth = self.smooth.entry(pool.clone()).or_default();
                smooth.observe(load, now);
                let hold = context.config.autoscaling.hold();
                let peaks = self.peaks.entry(pool.clone()).or_default();
                peaks.observe_load(smooth.value(), hold, now);
            }
            if engines.is_empty() {
                continue;
            }
            if context.config.first_start {
                self.look_at_begin(context, pool, &engines, load.is_some(), now);
            } else if !self.expects.contains(&pool) {
                self.expect_what_runs(context, pool, &scaling, &engines, now);
            }
        }
    }

    /// A process that starts among others takes what runs for what is needed: it has seen no demand itself.
    fn expect_what_runs(
        &mut self,
        context: &Context,
        pool: PoolId,
        scaling: &PoolScaling,
        engines: &[PoolEngineView],
        now: MonotonicTime,
    ) {
        let spot = engines.iter().filter(|engine| engine.spot).count();
        let on_demand = engines.len() - spot;
        let zones = scaling.zone_prices.len();
        let load = carried(on_demand, spot, zones, &context.config.autoscaling);
        log::info!(pool:% = pool, on_demand, spot, load; "load_expected");
        self.peaks.entry(pool.clone()).or_default().expect(load, now);
        self.expects.insert(pool);
    }

    /// Until the list has filled, the operators' own number of engines tells what demand they expect.
    fn look_at_begin(
        &mut self,
        context: &Context,
        pool: PoolId,
        engines: &[PoolEngineView],
        has_demand: bool,
        now: MonotonicTime,
    ) {
        let began = self.began_with.entry(pool.clone()).or_insert(BeganWith {
            engines: 0,
            has_demand: false,
            first_seen_at: now,
        });
        began.has_demand |= has_demand;
        if began.is_known(now) {
            return;
        }
        let on_demand = engines.iter().filter(|engine| !engine.spot).count();
        began.engines = began.engines.max(on_demand as u32);
        let expected = f64::from(began.engines) * context.config.autoscaling.assumed_utilisation;
        self.peaks.entry(pool.clone()).or_default().expect(expected, now);
        lock(&context.expected_loads).insert(pool, expected);
    }

    /// Gives the orders that are due.
    pub(super) fn step(&mut self, context: &Context, held: Authority, platform: &dyn PlatformDuties) {
        self.orders.begin(held.token);
        for (pool, scaling) in scaled_pools(context) {
            while let Some(held) = authority(context)
                && let Some(order) = self.next(context, &pool, &scaling)
            {
                self.give(context, held, platform, &order);
            }
        }
    }

    fn next(&mut self, context: &Context, pool: &PoolId, scaling: &PoolScaling) -> Option<ScaleOrder> {
        let now = context.now();
        let running = self.look_at_zones(context, pool, now);
        if running.is_empty() {
            return None;
        }
        let peaks = self.peaks.get(pool).copied().unwrap_or_default();
        let began = self.began_with.get(pool).copied();
        let without_spot = self.orders.without_spot(pool, now);
        let input = ScalingInput {
            scaling,
            running: &running,
            load: peaks.engines()?,
            without_spot: &without_spot,
            idle: began.is_some_and(|began| began.is_known(now) && !began.has_demand),
        };
        let wanted = plan(&input, &context.config.autoscaling);
        lock(&context.duty_notes).note_plan(pool, input.load, &wanted, &running, &without_spot);
        if self.logged.get(pool) != Some(&wanted) {
            log_plan(pool, &wanted, &running, input.load, without_spot.len());
            self.logged.insert(pool.clone(), wanted.clone());
        }
        let order = self.orders.next(pool, scaling, &wanted, &running, now)?;
        // While the list fills, nobody knows how many of the operators' own engines run in a zone.
        let is_filling = began.is_some_and(|began| !began.is_known(now));
        (!is_filling || order.subject.kind == EngineKind::Spot).then_some(order)
    }

    /// Engines that stay, by zone; notes zones that take their spot engines back.
    fn look_at_zones(&mut self, context: &Context, pool: &PoolId, now: MonotonicTime) -> Vec<ZoneEngines> {
        let mut zones: BTreeMap<_, ZoneEngines> = BTreeMap::new();
        let mut leaving: BTreeMap<_, u32> = BTreeMap::new();
        let router = lock(&context.router);
        for state in router.engines().filter(|state| state.engine.pool == *pool) {
            let engine = &state.engine;
            if state.is_draining() {
                *leaving.entry(engine.zone.clone()).or_default() += u32::from(engine.spot);
            }
            if !state.is_active() {
                continue;
            }
            let zone = zones.entry(engine.zone.clone()).or_insert_with(|| ZoneEngines {
                zone: engine.zone.clone(),
                on_demand: 0,
                spot: 0,
            });
            if engine.spot {
                zone.spot += 1;
            } else {
                zone.on_demand += 1;
            }
        }
        for (zone, leaving) in leaving {
            let staying = zones.get(&zone).map_or(0, |zone| zone.spot);
            let engines = LeavingEngines { leaving, staying };
            if self.orders.note_leaving(pool, &zone, engines, now)
                && let Some(running) = zones.get_mut(&zone)
            {
                running.spot = 0;
            }
        }
        zones.into_values().collect()
    }

    fn give(
        &mut self,
        context: &Context,
        held: Authority,
        platform: &dyn PlatformDuties,
        order: &ScaleOrder,
    ) {
        let answer = platform.order_engines(&holder(context, held), order);
        let outcome = outcome_of(&answer);
        log::info!(
            pool:% = order.subject.pool,
            zone = order.subject.zone.as_str(),
            kind:? = order.subject.kind,
            count = order.count,
            token:% = held.token,
            answer:? = answer;
            "engines_ordered"
        );
        context.metrics.engines_ordered(name_of(outcome));
        self.orders.on_answer(order, outcome, context.now());
    }
}

/// Pools whose engines the platform starts and stops at a price.
fn scaled_pools(context: &Context) -> Vec<(PoolId, PoolScaling)> {
    let Some(config) = context.forwarding() else {
        return Vec::new();
    };
    let scaled = config.pools.iter().filter(|pool| pool.model.is_some());
    scaled
        .filter_map(|pool| Some((pool.id.clone(), pool.scaling.clone()?)))
        .collect()
}

fn log_plan(pool: &PoolId, wanted: &[ZoneEngines], running: &[ZoneEngines], load: f64, without_spot: usize) {
    let shown = |zones: &[ZoneEngines]| {
        let zones = zones
            .iter()
            .map(|zone| format!("{}:{}+{}", zone.zone, zone.on_demand, zone.spot));
        zones.collect::<Vec<_>>().join(",")
    };
    log::info!(
        pool:% = pool,
        load,
        wanted = shown(wanted).as_str(),
        running = shown(running).as_str(),
        zones_without_spot = without_spot;
        "engines_planned"
    );
}

fn outcome_of(answer: &DutyAnswer) -> OrderOutcome {
    match answer {
        DutyAnswer::Taken => OrderOutcome::Taken,
        DutyAnswer::Conflict => OrderOutcome::Conflict,
        DutyAnswer::Throttled | DutyAnswer::Rejected(_) => OrderOutcome::NotTaken,
        DutyAnswer::Unanswered(_) => OrderOutcome::Unknown,
    }
}

fn name_of(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Taken => "taken",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::NotTaken => "not_taken",
        OrderOutcome::Unknown => "unknown",
    }
}
