//! One round of orders at a time: plan, ask each engine for its report, order, wait until all are listed so.

use super::scopes::{region_label, scope_inputs};
use super::status::StatusReport;
use crate::asking;
use crate::context::Context;
use crate::ports::{EngineReading, EngineReport, MIN_ORDER_TIME, OrderVerdict, StageOrder};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::lease::Authority;
use shelfjunction_core::roles::regional::{LIST_SETTLE_TIME, PlanScope, RegionalChange, RolePlanner};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an engine's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Time after which an order whose answer was lost is looked at again.
const SETTLE_AFTER: Duration = Duration::from_millis(1_500);

/// An order whose answer was lost.
struct InDoubt {
    change: RegionalChange,
    since: MonotonicTime,
}

/// Orders of this node.
#[derive(Default)]
pub(super) struct Ordering {
    planner: RolePlanner,
    /// Changes of the present rounds that are not ordered yet.
    round: VecDeque<RegionalChange>,
    in_doubt: Vec<InDoubt>,
    status: StatusReport,
}

impl Ordering {
    /// Whether there is another order to give at once.
    pub(super) fn has_more(&self) -> bool {
        !self.round.is_empty()
    }

    /// Forgets the orders of the round that are not given: another holder plans anew.
    pub(super) fn give_up_round(&mut self, context: &Context) {
        self.round.clear();
        self.status.clear(context);
    }

    /// Gives the next order if one is worth it. A single one, since an engine may take long to answer and the lease has
    /// to be renewed in between.
    pub(super) fn step(&mut self, context: &Context, authority: Authority) {
        let now = context.now();
        let policy = &context.config.roles;
        let inputs = scope_inputs(context, now);
        self.planner.observe(&inputs, policy, now);
        self.status
            .report(context, &self.planner.status(&inputs, policy), now);
        if now + MIN_ORDER_TIME > authority.not_after {
            return;
        }
        if let Some(change) = self.round.pop_front() {
            return self.order(context, authority, change);
        }
        if !self.in_doubt.is_empty() {
            return self.settle(context, authority, now);
        }
        // While engines come and go, what is missing may be about to come. The planner knows it of each region.
        let is_regional = context.peers.topology().is_regional();
        if !is_regional && context.list_unchanged_for() < LIST_SETTLE_TIME {
            return;
        }
        // An engine may finish long outputs first; the plan counts those on their way with the stage that they take, and a
        // region is not planned again before its settle time is over.
        let router = lock(&context.router);
        let has_reserve = |scope: &PlanScope, stage| match &scope.region {
            Some(region) => router.has_reserve_in(&scope.pool, region, stage),
            None => router.has_reserve(&scope.pool, stage),
        };
        self.round = self.planner.round(&inputs, policy, has_reserve, now).into();
    }

    /// Looks again at the orders whose answers were lost.
    fn settle(&mut self, context: &Context, authority: Authority, now: MonotonicTime) {
        for doubt in std::mem::take(&mut self.in_doubt) {
            if now.since(doubt.since) < SETTLE_AFTER {
                self.in_doubt.push(doubt);
            } else {
                self.order(context, authority, doubt.change);
            }
        }
    }

    fn order(&mut self, context: &Context, authority: Authority, regional: RegionalChange) {
        let change = &regional.change;
        let Some(address) = address_of(context, &change.engine) else {
            return;
        };
        let Some(report) = report(context, &change.engine, address) else {
            log::info!(engine = change.engine.as_str(), cause = "no_report"; "order_not_given");
            return self.give_up_distant(context, &regional.scope);
        };
        if report.changing || report.stage == change.to {
            lock(&context.router).record_stage_order(&change.engine, change.to, context.now());
            return;
        }
        if context.now() + MIN_ORDER_TIME > authority.not_after {
            return;
        }
        self.send(context, authority, regional, address, report);
    }

    /// Forgets the other orders to a region whose engine gave no answer: behind a cut link each would cost a wait, and engines of
    /// other regions would get their orders late. The region is planned again after its settle time.
    fn give_up_distant(&mut self, context: &Context, scope: &PlanScope) {
        let topology = context.peers.topology();
        if scope.region.as_ref() != topology.own_region() {
            self.round.retain(|other| other.scope.region != scope.region);
        }
    }

    fn send(
        &mut self,
        context: &Context,
        authority: Authority,
        regional: RegionalChange,
        address: SocketAddr,
        report: EngineReport,
    ) {
        let change = &regional.change;
        let order = StageOrder {
            engine: change.engine.clone(),
            stage: change.to,
            holder: context.config.node.clone(),
            token: authority.token,
            expected: report.sequence,
        };
        lock(&context.router).record_stage_order(&change.engine, change.to, context.now());
        context.peers.note_change();
        let answer = asking::ask_directly(context, &change.engine, address, ANSWER_WAIT, |link| {
            link.begin_order(&order)
        });
        log::info!(
            engine = change.engine.as_str(),
            region = region_label(&regional.scope),
            stage:? = change.to,
            token:% = authority.token,
            expected = report.sequence,
            reading_engines = change.loads.reading.unwrap_or_default(),
            output_engines = change.loads.outputs,
            answer:? = answer;
            "stage_ordered"
        );
        context.metrics.order_given(match &answer {
            Ok(EngineReading::Ordered(OrderVerdict::Begun | OrderVerdict::AlreadySo)) => "taken",
            Ok(_) => "refused",
            Err(_) => "unanswered",
        });
        match answer {
            Ok(EngineReading::Ordered(OrderVerdict::Begun | OrderVerdict::AlreadySo)) => {}
            Ok(_) => lock(&context.router).clear_stage_order(&change.engine),
            Err(_) => {
                self.in_doubt.push(InDoubt {
                    change: regional,
                    since: context.now(),
                });
            }
        }
    }
}

/// Where an engine is ordered; absent where only a later start of it would take the order.
fn address_of(context: &Context, engine: &EngineId) -> Option<SocketAddr> {
    let router = lock(&context.router);
    router
        .engine(engine)
        .filter(|state| !state.has_later_start())
        .map(|state| state.engine.address)
}

fn report(context: &Context, engine: &EngineId, address: SocketAddr) -> Option<EngineReport> {
    match asking::ask_directly(context, engine, address, ANSWER_WAIT, |link| link.begin_report()) {
        Ok(EngineReading::Report(report)) => Some(report),
        _ => None,
    }
}
