//! The lease, kept through the store's tables.

use crate::context::Context;
use shelfjunction_core::identity::{FencingToken, ZoneId};
use shelfjunction_core::lease::{Authority, LeaseEffect, LeaseEvent, LeaseKeeper, TableAnswer, TableCall};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::TableService;
use std::time::Duration;

/// Name under which the one lease over all zones' engines is kept.
const LEASE_SCOPE: &str = "fleet";

/// Time after a taking before the first order, and after a taking of a lease that was given up before the first call to
/// the platform: machines that take turns faster would be two masters of one engine.
const FIRST_ORDER_AFTER: Duration = Duration::from_millis(3_500);

/// This node's part in the lease.
pub(super) struct Tenure {
    keeper: LeaseKeeper,
    order_from: MonotonicTime,
    duties_from: MonotonicTime,
    stopping: bool,
    held_once: bool,
}

impl Tenure {
    pub(super) fn new(context: &Context) -> Self {
        let keeper = LeaseKeeper::new(
            context.config.lease,
            context.config.node.clone(),
            ZoneId::new(LEASE_SCOPE),
            rand::random(),
        );
        Self {
            keeper,
            order_from: MonotonicTime::default(),
            duties_from: MonotonicTime::default(),
            stopping: false,
            held_once: false,
        }
    }

    /// Makes the calls that are due, and tells the other threads whether this node holds the lease.
    pub(super) fn tick(&mut self, context: &Context, table: &dyn TableService) {
        if let Some((version, at)) = context.heard_lease() {
            self.keeper.note_heard(version, at);
        }
        self.keeper.note_era(table.era());
        let effects = self.keeper.handle(LeaseEvent::Tick, context.now());
        self.carry_out(context, table, effects);
        context.set_lease_version(self.keeper.renewed_version());
        context.set_lease_exclusive_until(self.keeper.exclusive_until());
        context.set_authority(self.keeper.authority(context.now()), self.duties_from);
    }

    /// The right to order engines now; absent without a lease or too soon after its taking.
    pub(super) fn orders_with(&self, now: MonotonicTime) -> Option<Authority> {
        self.keeper.authority(now).filter(|_| now >= self.order_from)
    }

    /// Gives the lease up for good; repeated until the store has confirmed it.
    pub(super) fn release(&mut self, context: &Context, table: &dyn TableService) {
        context.set_authority(None, self.duties_from);
        if !self.held_once || self.keeper.is_released() {
            return;
        }
        let event = if std::mem::replace(&mut self.stopping, true) {
            LeaseEvent::Tick
        } else {
            LeaseEvent::Release
        };
        let effects = self.keeper.handle(event, context.now());
        context.set_lease_exclusive_until(self.keeper.exclusive_until());
        self.carry_out(context, table, effects);
    }

    fn carry_out(&mut self, context: &Context, table: &dyn TableService, effects: Vec<LeaseEffect>) {
        let mut pending = effects;
        while !pending.is_empty() {
            let mut next = Vec::new();
            for effect in pending {
                match effect {
                    LeaseEffect::Call { call, request } => {
                        let answer = make_call(table, &request);
                        self.keeper.note_era(table.era());
                        next.extend(
                            self.keeper
                                .handle(LeaseEvent::Answer { call, answer }, context.now()),
                        );
                    }
                    LeaseEffect::Gained(authority) => self.gained(context, authority),
                    LeaseEffect::Lost(token) => self.lost(context, token),
                }
            }
            pending = next;
        }
    }

    fn lost(&self, context: &Context, token: FencingToken) {
        context.metrics.lease_held.set(0);
        context.set_lease_exclusive_until(self.keeper.exclusive_until());
        let exclusive = context
            .lease_exclusive_until()
            .map(|until| until.since(context.now()));
        log::info!(
            token:% = token,
            exclusive_millis:? = exclusive.map(|time| time.as_millis());
            "lease_lost"
        );
    }

    /// The first token of all has no holder before it.
    fn gained(&mut self, context: &Context, authority: Authority) {
        context.metrics.lease_held.set(1);
        self.held_once = true;
        let is_first = authority.token.0 <= 1;
        let now = context.now();
        self.order_from = if is_first { now } else { now + FIRST_ORDER_AFTER };
        let released = self.keeper.took_released();
        // A lease that has lapsed has kept its last holder from calling for as long.
        self.duties_from = if released { now + FIRST_ORDER_AFTER } else { now };
        log::info!(token:% = authority.token, first = is_first, released; "lease_gained");
    }
}

fn make_call(table: &dyn TableService, call: &TableCall) -> TableAnswer {
    match call {
        TableCall::Read(key) => table.read(key).into(),
        TableCall::Scan(prefix) => table.scan(prefix).into(),
        TableCall::Transact(transaction) => table.transact(transaction).into(),
    }
}
