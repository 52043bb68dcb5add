//! How gateways' claims reach the table and come back.

use super::controller::ProcessState;
use super::fleet::Fleet;
use super::gateway::GatewayWork;
use super::network::{Fate, Place};
use super::serving::Serving;
use super::store;
use shelfjunction_core::lease::{TableAnswer, TableCall};
use shelfjunction_core::ledger::batcher::{Batch, BatchId, ClaimWrite, WriteAnswer};
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::request::event::Event;
use shelfjunction_core::table::{PlatformError, Transaction, TransactionOutcome};
use std::time::Duration;

/// How long a gateway waits for the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Fleet {
    pub(super) fn submit_write(&mut self, gateway: usize, caller: Option<usize>, write: ClaimWrite) {
        let process = &mut self.gateways[gateway];
        let local = process.clock.read(self.now);
        let Some(ticket) = process.batcher.submit(write, local) else {
            return;
        };
        if let Some(caller) = caller {
            process.tickets.insert(ticket, caller);
        }
        self.plan_batch(gateway);
    }

    fn plan_batch(&mut self, gateway: usize) {
        let process = &self.gateways[gateway];
        let local = process.clock.read(self.now);
        let start = process.start;
        if let Some(due) = process.batcher.due() {
            let at = self.now + due.since(local);
            let work = GatewayWork::BatchDue;
            self.later(at, Serving::Work { gateway, start, work });
        }
    }

    pub(super) fn send_batches(&mut self, gateway: usize) {
        let local = self.gateways[gateway].clock.read(self.now);
        while let Some(batch) = self.gateways[gateway].batcher.poll(local) {
            self.send_batch(gateway, batch);
        }
        // A clock that stood still makes the batch due later than it was planned.
        if self.gateways[gateway]
            .batcher
            .due()
            .is_some_and(|due| due > local)
        {
            self.plan_batch(gateway);
        }
    }

    fn send_batch(&mut self, gateway: usize, batch: Batch) {
        let process = &mut self.gateways[gateway];
        let start = process.start;
        let zone = process.zone;
        process.batches.insert(batch.batch);
        let ended = |outcome| Serving::BatchEnded {
            gateway,
            start,
            batch: batch.batch,
            outcome,
        };
        self.later(self.now + TABLE_TIMEOUT, ended(Err(PlatformError::AnswerLost)));
        match self.network.request(Place::Zone(zone), Place::Platform) {
            Fate::Arrives(delay) => {
                let arrival = Serving::BatchAtStore {
                    gateway,
                    start,
                    batch: batch.batch,
                    transaction: batch.transaction,
                };
                self.later(self.now + delay, arrival);
            }
            Fate::Refused(delay) => {
                self.later(self.now + delay, ended(Err(PlatformError::Unavailable)));
            }
            Fate::Vanishes => {}
        }
    }

    pub(super) fn batch_at_store(
        &mut self,
        gateway: usize,
        start: u64,
        batch: BatchId,
        transaction: Transaction,
    ) {
        let answered = store::carry_out(&mut self.platform, TableCall::Transact(transaction), self.now);
        self.read_records();
        let Some((answer, delay)) = answered else {
            return;
        };
        let outcome = match answer {
            TableAnswer::Transacted(outcome) => Ok(outcome),
            TableAnswer::Failed(error) => Err(error),
            TableAnswer::Row(_) | TableAnswer::Rows(_) => return,
        };
        let zone = self.gateways[gateway].zone;
        if let Fate::Arrives(travel) = self.network.answer(Place::Platform, Place::Zone(zone)) {
            let ended = Serving::BatchEnded {
                gateway,
                start,
                batch,
                outcome,
            };
            self.later(self.now + delay + travel, ended);
        }
    }

    pub(super) fn batch_ended(
        &mut self,
        gateway: usize,
        batch: BatchId,
        outcome: Result<TransactionOutcome, PlatformError>,
    ) {
        let process = &mut self.gateways[gateway];
        let local = process.clock.read(self.now);
        let answers = process.batcher.on_outcome(batch, outcome, local);
        let answered: Vec<(usize, WriteAnswer)> = answers
            .into_iter()
            .filter_map(|(ticket, answer)| Some((process.tickets.remove(&ticket)?, answer)))
            .collect();
        for (caller, answer) in answered {
            let event = match answer {
                WriteAnswer::Committed { version } => Event::ClaimCommitted { version },
                WriteAnswer::Absent => Event::ClaimAbsent,
                WriteAnswer::Exists(stored) => Event::ClaimExists(stored),
                WriteAnswer::Gone => {
                    Event::ClaimFailed(PlatformError::Malformed("the claim is gone".to_owned()))
                }
                WriteAnswer::Failed(error) => Event::ClaimFailed(error),
            };
            self.take_event(gateway, caller, event);
        }
        if self.gateways[gateway].state == ProcessState::Up {
            self.plan_batch(gateway);
        }
    }

    pub(super) fn read_for_release(&mut self, gateway: usize, release: Release) {
        let process = &self.gateways[gateway];
        let start = process.start;
        if let Fate::Arrives(delay) = self.network.request(Place::Zone(process.zone), Place::Platform) {
            let at = self.now + delay;
            self.later(
                at,
                Serving::ReleaseAtStore {
                    gateway,
                    start,
                    release,
                },
            );
        }
    }

    pub(super) fn release_at_store(&mut self, gateway: usize, start: u64, release: Release) {
        let call = TableCall::Read(release.key.clone());
        let answered = store::carry_out(&mut self.platform, call, self.now);
        if let Some((TableAnswer::Row(row), delay)) = answered {
            let work = GatewayWork::ReleaseRead { release, row };
            self.later(self.now + delay, Serving::Work { gateway, start, work });
        }
    }
}
