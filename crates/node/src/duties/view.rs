//! What the node tells of its duties.

use crate::context::Context;
use crate::metering::{self, Metering};
use shelfjunction_core::autoscaling::ZoneEngines;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::reporter::UsageReporter;
use shelfjunction_protocol::duties::{DutiesView, PlanView, UsageView, WindowView, ZonePlanView};
use shelfjunction_threads::lock;
use std::collections::{BTreeMap, BTreeSet};

/// Windows that are told.
const WINDOWS: u64 = 4;

/// What the duties' thread leaves for those who ask.
#[derive(Clone, Debug, Default)]
pub(crate) struct DutyNotes {
    plans: BTreeMap<PoolId, PlanView>,
    unconfirmed: usize,
    confirmed_through: Option<WindowNumber>,
}

impl DutyNotes {
    /// Notes how far reports have come.
    pub(super) fn note_reports(&mut self, reporter: &UsageReporter) {
        self.unconfirmed = reporter.unconfirmed();
        self.confirmed_through = reporter.confirmed_through();
    }

    /// Notes a plan.
    pub(super) fn note_plan(
        &mut self,
        pool: &PoolId,
        load: f64,
        wanted: &[ZoneEngines],
        running: &[ZoneEngines],
        without_spot: &BTreeSet<ZoneId>,
    ) {
        let zone = |wanted: &ZoneEngines| {
            let runs = running.iter().find(|one| one.zone == wanted.zone);
            ZonePlanView {
                zone: wanted.zone.as_str().to_owned(),
                on_demand_wanted: wanted.on_demand,
                on_demand_running: runs.map_or(0, |one| one.on_demand),
                spot_wanted: wanted.spot,
                spot_running: runs.map_or(0, |one| one.spot),
                without_spot: without_spot.contains(&wanted.zone),
            }
        };
        let plan = PlanView {
            pool: pool.0.clone(),
            load,
            zones: wanted.iter().map(zone).collect(),
        };
        self.plans.insert(pool.clone(), plan);
    }
}

/// The duties as this node sees them now.
pub(crate) fn view(context: &Context) -> DutiesView {
    let notes = lock(&context.duty_notes).clone();
    DutiesView {
        node: context.config.node.as_str().to_owned(),
        token: context.authority(context.now()).map(|held| held.token.0),
        usage: context
            .metering
            .as_ref()
            .map(|metering| usage_view(context, metering, &notes)),
        plans: notes.plans.into_values().collect(),
    }
}

fn usage_view(context: &Context, metering: &Metering, notes: &DutyNotes) -> UsageView {
    let unix = metering::unix(context);
    let present = WindowNumber::of(unix, metering.settings.window());
    let tally = lock(&metering.tally);
    let window = |number: u64| {
        let window = WindowNumber(number);
        let missing = tally.missing(window, unix).into_iter();
        let counts = tally.counts(window).into_iter();
        WindowView {
            window: number,
            missing: missing.map(|node| node.as_str().to_owned()).collect(),
            counts: counts
                .map(|(tenant, count)| (tenant.as_str().to_owned(), count))
                .collect(),
        }
    };
    UsageView {
        window_seconds: metering.settings.window_seconds,
        unconfirmed: notes.unconfirmed,
        confirmed_through: notes.confirmed_through.map(|window| window.0),
        windows: (present.0.saturating_sub(WINDOWS - 1)..=present.0)
            .map(window)
            .collect(),
    }
}
