//! One controller's process in the world: the real commander, a clock of its own, and what is on its way.

use super::clock::ProcessClock;
use super::planted::PlantedFault;
use shelfjunction_core::engine::{Order, OrderAction, OrderReply};
use shelfjunction_core::identity::{EngineId, NodeId, OrderId, ZoneId};
use shelfjunction_core::lease::{CallId, LeaseRow, LeaseTimings, TableCall};
use shelfjunction_core::orders::{
    CommanderEffect, CommanderEvent, EngineRow, OrderAnswer, OrderTimings, ZoneCommander,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Runs.
    Up,
    /// Stopped in its tracks; it will go on where it was.
    Paused,
    /// Gone; another will start in its place.
    Down,
}

/// Something that the process still has to do or to take in.
#[derive(Clone, Debug)]
pub enum Work {
    /// An event for the commander.
    Event(CommanderEvent),
    /// The clock has been looked at; the order leaves now.
    Depart {
        /// The order.
        order: Order,
        /// When the clock was looked at, in virtual time.
        checked_at: MonotonicTime,
    },
}

/// One controller.
#[derive(Debug)]
pub struct ControllerProcess {
    /// Its node.
    pub node: NodeId,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it runs.
    pub state: ProcessState,
    /// Number of its start; messages to a former start are dropped.
    pub start: u64,
    /// Its clock.
    pub clock: ProcessClock,
    /// The code under test.
    pub commander: ZoneCommander,
    /// What arrived while it was paused.
    pub inbox: Vec<Work>,
    /// Table calls without an answer so far.
    pub calls: BTreeSet<CallId>,
    /// Sends without an answer so far, by number of the send.
    pub sends: BTreeMap<usize, (EngineId, OrderId)>,
    planted: Option<PlantedFault>,
}

impl ControllerProcess {
    /// A process that has just started.
    pub fn new(
        node: NodeId,
        zone: usize,
        zone_id: ZoneId,
        start: u64,
        offset: Duration,
        planted: Option<PlantedFault>,
    ) -> Self {
        let commander = ZoneCommander::new(
            lease_timings(),
            OrderTimings::default(),
            node.clone(),
            zone_id,
            start,
        );
        Self {
            node,
            zone,
            state: ProcessState::Up,
            start,
            clock: ProcessClock::new(offset),
            commander,
            inbox: Vec::new(),
            calls: BTreeSet::new(),
            sends: BTreeMap::new(),
            planted,
        }
    }

    /// Hands one event to the commander, bent by the planted fault if there is one.
    pub fn handle(&mut self, event: CommanderEvent, now: MonotonicTime) -> Vec<CommanderEffect> {
        let local = self.clock.read(now);
        let event = self.bend_event(event);
        let effects = self.commander.handle(event, local);
        effects
            .into_iter()
            .flat_map(|effect| self.bend_effect(effect, local))
            .collect()
    }

    /// Whether the sender's clock still allows the send.
    pub fn may_send(&self, not_after: MonotonicTime, now: MonotonicTime) -> bool {
        self.planted == Some(PlantedFault::IgnoreLeaseMargin) || self.clock.read(now) < not_after
    }

    fn bend_event(&self, event: CommanderEvent) -> CommanderEvent {
        match (self.planted, event) {
            (
                Some(PlantedFault::SkipFenceRaise),
                CommanderEvent::Status {
                    observed_at,
                    mut status,
                },
            ) => {
                let authority = self.commander.authority(observed_at);
                status.fence = authority.map_or(status.fence, |authority| authority.token);
                CommanderEvent::Status { observed_at, status }
            }
            (
                Some(PlantedFault::ChangeWithoutDrain),
                CommanderEvent::Status {
                    observed_at,
                    mut status,
                },
            ) => {
                status.draining = true;
                CommanderEvent::Status { observed_at, status }
            }
            (
                Some(PlantedFault::TwoOrdersOutstanding),
                CommanderEvent::OrderAnswer {
                    engine,
                    order,
                    answer: OrderAnswer::Lost,
                },
            ) => {
                let answer = OrderAnswer::Reply(OrderReply::Done);
                CommanderEvent::OrderAnswer {
                    engine,
                    order,
                    answer,
                }
            }
            (_, event) => event,
        }
    }

    fn bend_effect(&mut self, effect: CommanderEffect, local: MonotonicTime) -> Vec<CommanderEffect> {
        match (self.planted, effect) {
            (Some(PlantedFault::SkipFenceRaise), CommanderEffect::SendOrder { order, .. })
                if order.action == OrderAction::RaiseFence =>
            {
                let answer = OrderAnswer::Reply(OrderReply::Done);
                let event = CommanderEvent::OrderAnswer {
                    engine: order.engine,
                    order: order.order,
                    answer,
                };
                self.commander.handle(event, local)
            }
            (
                Some(PlantedFault::SendBeforeCommit),
                CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(transaction),
                },
            ) => {
                let row = transaction.writes.first().and_then(|write| {
                    let engine = write.key.0.rsplit('/').next()?.to_owned();
                    let row: EngineRow = serde_json::from_str(write.value.as_deref()?).ok()?;
                    Some(row.to_order(&EngineId::new(engine)))
                });
                let not_after = local + Duration::from_secs(1);
                let early = row.map(|order| CommanderEffect::SendOrder { order, not_after });
                let commit = CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(transaction),
                };
                early.into_iter().chain([commit]).collect()
            }
            (
                Some(PlantedFault::CommitWithoutEpoch),
                CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(mut transaction),
                },
            ) => {
                transaction
                    .checks
                    .retain(|check| !check.key.0.starts_with("epoch/"));
                vec![CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(transaction),
                }]
            }
            (
                Some(PlantedFault::IgnoreLeaseMargin),
                CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(mut transaction),
                },
            ) => {
                for write in &mut transaction.writes {
                    let value = write.value.as_deref().unwrap_or_default();
                    if let Ok(mut lease) = serde_json::from_str::<LeaseRow>(value) {
                        lease.duration_millis /= 4;
                        write.value = serde_json::to_string(&lease).ok();
                    }
                }
                vec![CommanderEffect::Call {
                    call,
                    request: TableCall::Transact(transaction),
                }]
            }
            (_, effect) => vec![effect],
        }
    }
}

fn lease_timings() -> LeaseTimings {
    LeaseTimings {
        duration_millis: 4_000,
        renew_every_millis: 1_000,
        margin_millis: 1_000,
        read_every_millis: 500,
        retry_after_millis: 200,
    }
}
