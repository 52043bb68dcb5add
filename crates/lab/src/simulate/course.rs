//! The course of role changes and reloads, as a zone's controller drives them with fenced orders.

use super::engines::{ChangeStage, weights};
use super::world::World;
use shelfjunction_core::engine::{Order, OrderAction, OrderReply, OrderSequence, Role};
use shelfjunction_core::identity::{FencingToken, OrderId};
use std::time::Duration;

/// Time that the weight store takes for one load; further loads queue.
const WEIGHT_STORE_SLOT: Duration = Duration::from_secs(4);

impl World<'_> {
    /// Begins a role change: the engine takes nothing new from now on.
    pub(super) fn begin_change(&mut self, index: usize, to: Role) {
        let engine = &mut self.engines[index];
        if !engine.alive || engine.stage.is_some() || engine.wanted == to {
            return;
        }
        engine.wanted = to;
        engine.stage = Some(ChangeStage::Draining);
        if std::mem::take(&mut self.crash_in_next_change) {
            self.change_faults(index, |faults| faults.crash_in_change = true);
        }
        self.order(index, OrderAction::Drain);
    }

    /// Takes the next step of a change, when the engine itself reports that the last one is done.
    pub(super) fn advance_change(&mut self, index: usize) {
        let engine = &self.engines[index];
        let Some(stage) = engine.stage.clone() else {
            return;
        };
        let status = engine.state.status(self.now);
        if status.changing {
            return;
        }
        match stage {
            ChangeStage::Draining if engine.state.in_flight() == 0 => self.change_role(index),
            ChangeStage::Draining => {}
            ChangeStage::Changing if status.role == engine.wanted => self.finish_change(index),
            ChangeStage::Changing => self.change_role(index),
            ChangeStage::Loading if status.weights.is_empty() => self.load_weights(index),
            ChangeStage::Loading if status.role == engine.wanted => self.finish_change(index),
            ChangeStage::Loading => {
                self.engines[index].stage = Some(ChangeStage::Draining);
                self.order(index, OrderAction::Drain);
            }
        }
    }

    fn change_role(&mut self, index: usize) {
        let role = self.engines[index].wanted;
        if self.order(index, OrderAction::ChangeRole { role }) == OrderReply::InProgress {
            self.engines[index].stage = Some(ChangeStage::Changing);
            self.statistics.role_changes += 1;
        }
    }

    fn load_weights(&mut self, index: usize) {
        let start = self.weights_free_at.max(self.now);
        let weights = weights(self.deployment);
        let reply = self.order_after(index, OrderAction::LoadWeights { weights }, start.since(self.now));
        if reply == OrderReply::InProgress {
            self.weights_free_at = start + WEIGHT_STORE_SLOT;
        }
    }

    fn finish_change(&mut self, index: usize) {
        self.order(index, OrderAction::Undrain);
        let engine = &mut self.engines[index];
        engine.stage = None;
        engine.changed_at = Some(self.now);
    }

    fn order(&mut self, index: usize, action: OrderAction) -> OrderReply {
        self.order_after(index, action, Duration::ZERO)
    }

    fn order_after(&mut self, index: usize, action: OrderAction, queue: Duration) -> OrderReply {
        let engine = &mut self.engines[index];
        engine.sequence = OrderSequence(engine.sequence.0 + 1);
        let order = Order {
            engine: engine.id.clone(),
            token: FencingToken(1),
            sequence: engine.sequence,
            order: OrderId::new(format!("order-{index}-{}", engine.sequence.0)),
            action,
        };
        let reply = engine.state.order(&order, 0, queue, self.now);
        self.plan_wake(index);
        reply
    }
}
