//! Fenced orders: which are carried out, in what order, and one change at a time.

use crate::config::ChangeCosts;
use shelfjunction_core::engine::{
    LoadedWeights, Order, OrderAction, OrderProgress, OrderReply, OrderSequence, Role,
};
use shelfjunction_core::identity::{EngineId, FencingToken, OrderId};
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Carried-out orders that are remembered; an older one repeats a sequence number and is fenced by that.
const REMEMBERED_ORDERS: usize = 256;

/// What an order changes when its time is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletedChange {
    /// The engine has taken this role; its cache is cold.
    Role(Role),
    /// These weights can be served; `replaced` tells whether another version of the model went.
    Weights {
        /// The weights.
        weights: LoadedWeights,
        /// Whether cached prefixes of the model are void.
        replaced: bool,
    },
}

/// A change that takes time.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RunningChange {
    order: OrderId,
    begun_at: MonotonicTime,
    done_at: MonotonicTime,
    change: CompletedChange,
}

/// The part of an engine that answers orders. It forgets everything when the engine's process ends.
#[derive(Clone, Debug)]
pub struct OrderExecutor {
    engine: EngineId,
    costs: ChangeCosts,
    /// Whether role and weights can be changed at all.
    changeable: bool,
    fence: FencingToken,
    last_position: (FencingToken, OrderSequence),
    last_order: Option<OrderProgress>,
    carried_out: VecDeque<OrderId>,
    change: Option<RunningChange>,
    role: Role,
    draining: bool,
    weights: Vec<LoadedWeights>,
}

impl OrderExecutor {
    /// An engine that has just started.
    pub fn new(
        engine: EngineId,
        costs: ChangeCosts,
        changeable: bool,
        role: Role,
        weights: Vec<LoadedWeights>,
    ) -> Self {
        Self {
            engine,
            costs,
            changeable,
            fence: FencingToken::default(),
            last_position: Default::default(),
            last_order: None,
            carried_out: VecDeque::new(),
            change: None,
            role,
            draining: false,
            weights,
        }
    }

    /// Answers an order. `in_flight` counts work that a change would cut off; `queue` is the weight store's wait.
    pub fn order(
        &mut self,
        order: &Order,
        in_flight: u32,
        queue: Duration,
        now: MonotonicTime,
    ) -> OrderReply {
        if order.engine != self.engine {
            return OrderReply::Rejected {
                reason: format!("this is engine {}", self.engine),
            };
        }
        if let Some(reply) = self.known(&order.order) {
            return reply;
        }
        let position = (order.token, order.sequence);
        if order.token < self.fence || position <= self.last_position {
            return OrderReply::Fenced { highest: self.fence };
        }
        self.fence = order.token;
        let reply = self.apply(order, in_flight, queue, now);
        if matches!(reply, OrderReply::Done | OrderReply::InProgress) {
            self.remember(order, reply == OrderReply::Done);
        }
        reply
    }

    /// Sets when the load begun by an order is done, as soon as the weight store has told its wait.
    pub fn weights_arrive(&mut self, order: &OrderId, wait: Duration, now: MonotonicTime) {
        let duration = wait + Duration::from_millis(self.costs.load_millis);
        if let Some(change) = self.change.as_mut().filter(|change| change.order == *order) {
            change.done_at = now + duration;
        }
    }

    /// Ends a change whose time is over.
    pub fn advance(&mut self, now: MonotonicTime) -> Option<CompletedChange> {
        if self.change.as_ref().is_none_or(|change| change.done_at > now) {
            return None;
        }
        let change = self.change.take()?;
        if let Some(last) = self.last_order.as_mut().filter(|last| last.order == change.order) {
            last.done = true;
        }
        match &change.change {
            CompletedChange::Role(role) => self.role = *role,
            CompletedChange::Weights { weights, .. } => self.take_weights(weights.clone()),
        }
        Some(change.change)
    }

    /// When the running change is done.
    pub fn change_done_at(&self) -> Option<MonotonicTime> {
        self.change.as_ref().map(|change| change.done_at)
    }

    /// The middle of the running change, where a fault may end the engine.
    pub fn change_middle_at(&self) -> Option<MonotonicTime> {
        let change = self.change.as_ref()?;
        Some(change.begun_at + change.done_at.since(change.begun_at) / 2)
    }

    /// Highest fencing token seen.
    pub fn fence(&self) -> FencingToken {
        self.fence
    }

    /// Last order that was carried out or begun.
    pub fn last_order(&self) -> Option<&OrderProgress> {
        self.last_order.as_ref()
    }

    /// Present role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a change goes on.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Weights that can be served.
    pub fn weights(&self) -> &[LoadedWeights] {
        &self.weights
    }

    /// Reply to an order that was carried out or begun before.
    fn known(&self, order: &OrderId) -> Option<OrderReply> {
        if self.change.as_ref().is_some_and(|change| change.order == *order) {
            return Some(OrderReply::InProgress);
        }
        self.carried_out.contains(order).then_some(OrderReply::Done)
    }

    fn remember(&mut self, order: &Order, done: bool) {
        self.last_position = (order.token, order.sequence);
        self.last_order = Some(OrderProgress {
            order: order.order.clone(),
            sequence: order.sequence,
            done,
        });
        if self.carried_out.len() == REMEMBERED_ORDERS {
            self.carried_out.pop_front();
        }
        self.carried_out.push_back(order.order.clone());
    }

    fn apply(&mut self, order: &Order, in_flight: u32, queue: Duration, now: MonotonicTime) -> OrderReply {
        if order.action == OrderAction::RaiseFence {
            return OrderReply::Done;
        }
        if self.change.is_some() {
            return OrderReply::Busy;
        }
        match &order.action {
            OrderAction::RaiseFence => OrderReply::Done,
            OrderAction::Drain => self.set_draining(true),
            OrderAction::Undrain => self.set_draining(false),
            OrderAction::ChangeRole { .. } | OrderAction::LoadWeights { .. } if !self.changeable => {
                OrderReply::Rejected {
                    reason: "an application has no role or weights to change".to_owned(),
                }
            }
            OrderAction::ChangeRole { role } => self.change_role(&order.order, *role, in_flight, now),
            OrderAction::LoadWeights { weights } => {
                self.load_weights(&order.order, weights, in_flight, queue, now)
            }
        }
    }

    fn set_draining(&mut self, draining: bool) -> OrderReply {
        self.draining = draining;
        OrderReply::Done
    }

    fn change_role(&mut self, order: &OrderId, role: Role, in_flight: u32, now: MonotonicTime) -> OrderReply {
        if role == self.role {
            return OrderReply::Done;
        }
        if in_flight > 0 {
            return OrderReply::Busy;
        }
        let duration = Duration::from_millis(self.costs.role_millis);
        self.begin(order, CompletedChange::Role(role), duration, now)
    }

    /// New weights load beside running work; to replace a version, nothing may be in flight that runs on it.
    fn load_weights(
        &mut self,
        order: &OrderId,
        weights: &LoadedWeights,
        in_flight: u32,
        queue: Duration,
        now: MonotonicTime,
    ) -> OrderReply {
        if self.weights.contains(weights) {
            return OrderReply::Done;
        }
        let replaced = self
            .weights
            .iter()
            .any(|held| held.model == weights.model && held.version != weights.version);
        if replaced && in_flight > 0 {
            return OrderReply::Busy;
        }
        let change = CompletedChange::Weights {
            weights: weights.clone(),
            replaced,
        };
        let duration = queue + Duration::from_millis(self.costs.load_millis);
        self.begin(order, change, duration, now)
    }

    fn begin(
        &mut self,
        order: &OrderId,
        change: CompletedChange,
        duration: Duration,
        now: MonotonicTime,
    ) -> OrderReply {
        self.change = Some(RunningChange {
            order: order.clone(),
            begun_at: now,
            done_at: now + duration,
            change,
        });
        OrderReply::InProgress
    }

    fn take_weights(&mut self, weights: LoadedWeights) {
        self.weights.retain(|held| held.model != weights.model);
        self.weights.push(weights);
    }
}
