//! The thread that owns the commander: events in, effects out, and the release at a planned stop.

use super::executor::Executor;
use super::link::CommandStatus;
use super::planning::Planning;
use super::status_board::StatusBoard;
use crate::config::millis;
use crate::context::Context;
use crate::fleet;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::orders::{CommanderEffect, CommanderEvent, CommanderPhase, ZoneCommander};
use shelfjunction_core::time::MonotonicTime;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Most events taken in before the status is told again.
const EVENTS_PER_STEP: usize = 256;

/// Time that membership gets to tell others that this node leaves, before the controller ends.
const LEAVE_SPREAD: Duration = Duration::from_millis(500);

struct Driver<'a> {
    context: &'a Context,
    executor: &'a Executor,
    commander: ZoneCommander,
    planning: Planning,
    engines: Vec<EngineId>,
    statuses: StatusBoard,
    look_at: MonotonicTime,
    /// Whether goals have been set since the lease was taken.
    goals_set: bool,
}

/// Commands the zone until a planned stop has been carried out.
pub fn run(context: &Context, executor: &Executor, events: &Receiver<CommanderEvent>) {
    let config = &context.config;
    let commander = ZoneCommander::new(
        config.lease,
        config.orders,
        config.node.clone(),
        config.zone.clone(),
        rand::random(),
    );
    let mut driver = Driver {
        context,
        executor,
        commander,
        planning: Planning::new(context),
        engines: Vec::new(),
        statuses: StatusBoard::default(),
        look_at: context.now(),
        goals_set: true,
    };
    while !context.leaving.is_set() && !context.stop.is_set() {
        driver.step(events);
    }
    driver.release(events);
    context.gossip.leave();
    context.stop.wait(LEAVE_SPREAD);
    context.end();
}

impl Driver<'_> {
    fn step(&mut self, events: &Receiver<CommanderEvent>) {
        let wait = millis(self.context.config.timings.command_step_millis);
        let first = events.recv_timeout(wait).unwrap_or(CommanderEvent::Tick);
        self.handle(first);
        for event in events.try_iter().take(EVENTS_PER_STEP) {
            self.handle(event);
        }
        let now = self.context.now();
        if now >= self.look_at {
            // Reading the records costs with the size of the fleet; events must not make it happen more often.
            self.look_at = now + wait;
            self.tell_engines();
            self.plan();
        }
        self.publish();
    }

    /// Gives the lease up by a transaction, so that a successor need not wait for its end.
    fn release(&mut self, events: &Receiver<CommanderEvent>) {
        if self.commander.authority(self.context.now()).is_none() {
            return;
        }
        let deadline = self.context.now() + millis(self.context.config.timings.release_wait_millis);
        self.handle(CommanderEvent::Release);
        while !self.commander.keeper().is_released() && self.context.now() < deadline {
            self.step(events);
            if self.context.stop.is_set() {
                return;
            }
        }
        log::info!(released = self.commander.keeper().is_released(); "lease_given_up");
    }

    fn handle(&mut self, event: CommanderEvent) {
        if let CommanderEvent::Status { observed_at, status } = &event {
            let unknown = self.statuses.get(&status.engine, self.context.now()).is_none();
            self.statuses.note(status, *observed_at);
            if unknown {
                // The commander acts on a status at once: what the engine is wanted to be must be right before.
                self.plan();
            }
        }
        let effects = self.commander.handle(event, self.context.now());
        for effect in effects {
            self.carry_out(effect);
        }
        self.set_first_goals();
    }

    /// Sets goals as soon as the rows are known and before the first change can be ordered: what an earlier holder
    /// wanted may be out of date, as when an engine has been put on the leaving list since.
    fn set_first_goals(&mut self) {
        if self.goals_set || *self.commander.phase() != CommanderPhase::Fencing {
            return;
        }
        self.goals_set = true;
        self.plan();
    }

    fn carry_out(&mut self, effect: CommanderEffect) {
        match effect {
            CommanderEffect::Call { call, request } => self.executor.call(call, request),
            CommanderEffect::SendOrder { order, not_after } => self.executor.send_order(order, not_after),
            CommanderEffect::Gained(authority) => {
                self.executor.permit(authority.token);
                self.planning = Planning::new(self.context);
                self.goals_set = false;
                // Told again at the next look, which comes at once.
                self.engines.clear();
                self.look_at = MonotonicTime::default();
                log::info!(zone:% = self.context.config.zone, token:% = authority.token; "lease_gained");
            }
            CommanderEffect::Lost(token) => {
                self.executor.forbid();
                log::warn!(zone:% = self.context.config.zone, token:% = token; "lease_lost");
            }
            CommanderEffect::Settled { engine, order } => {
                log::info!(engine:% = engine, order:% = order; "order_done");
            }
            CommanderEffect::Rejected {
                engine,
                order,
                reason,
            } => {
                log::warn!(engine:% = engine, order:% = order, reason:% = reason; "order_rejected");
                self.planning.on_rejected(&engine);
            }
        }
    }

    fn tell_engines(&mut self) {
        if self.commander.authority(self.context.now()).is_none() {
            return;
        }
        let mut engines: Vec<EngineId> = fleet::zone_engines(self.context)
            .into_iter()
            .map(|known| known.engine)
            .collect();
        engines.sort();
        // Nothing known yet is not the same as an empty zone.
        if engines != self.engines && !engines.is_empty() {
            self.engines.clone_from(&engines);
            self.statuses.retain(|engine| engines.contains(engine));
            self.handle(CommanderEvent::Engines(engines));
        }
    }

    fn plan(&mut self) {
        let now = self.context.now();
        let rows_known = matches!(
            self.commander.phase(),
            CommanderPhase::Fencing | CommanderPhase::Commanding
        );
        if !rows_known || self.commander.authority(now).is_none() {
            return;
        }
        for event in self
            .planning
            .step(self.context, &self.commander, &self.statuses, now)
        {
            self.handle(event);
        }
    }

    fn publish(&self) {
        let now: MonotonicTime = self.context.now();
        let authority = self.commander.authority(now);
        let metrics = &self.context.metrics;
        metrics.lease_held.set(i64::from(authority.is_some()));
        if let Some(authority) = authority {
            let token = i64::try_from(authority.token.0).unwrap_or(i64::MAX);
            metrics.lease_token.set(token);
        }
        let holder = self.commander.keeper().last_seen_holder();
        self.context.command.publish(CommandStatus {
            phase: self.commander.phase().clone(),
            authority,
            holder: holder.map(|(node, _)| node.clone()),
            changing: self.planning.changing(),
        });
    }
}
