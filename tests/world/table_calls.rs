//! Controllers' table calls, and what the platform committed.

use super::commanding::Commanding;
use super::fleet::Fleet;
use super::history::OrderCommit;
use super::network::{Fate, Place};
use super::store;
use shelfjunction_core::lease::{CallId, EpochRow, TableAnswer, TableCall, epoch_key};
use shelfjunction_core::orders::{EngineRow, engine_key};
use shelfjunction_core::table::{PlatformError, Write};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// How long a controller waits for the table service.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Fleet {
    pub(super) fn call(&mut self, controller: usize, call: CallId, request: TableCall) {
        let process = &mut self.controllers[controller];
        let start = process.start;
        process.calls.insert(call);
        let place = Place::Zone(process.zone);
        let given_up = TableAnswer::Failed(PlatformError::AnswerLost);
        let ended = |answer| Commanding::CallEnded {
            controller,
            start,
            call,
            answer,
        };
        self.later(self.now + CALL_TIMEOUT, ended(given_up));
        match self.network.request(place, Place::Platform) {
            Fate::Arrives(delay) => {
                let arrival = Commanding::AtStore {
                    controller,
                    start,
                    call,
                    request,
                };
                self.later(self.now + delay, arrival);
            }
            Fate::Refused(delay) => {
                let refused = TableAnswer::Failed(PlatformError::Unavailable);
                self.later(self.now + delay, ended(refused));
            }
            Fate::Vanishes => {}
        }
    }

    pub(super) fn at_store(&mut self, controller: usize, start: u64, call: CallId, request: TableCall) {
        let answered = store::carry_out(&mut self.platform, request, self.now);
        self.read_records();
        let Some((answer, delay)) = answered else {
            return;
        };
        let place = Place::Zone(self.controllers[controller].zone);
        if let Fate::Arrives(travel) = self.network.answer(Place::Platform, place) {
            let ended = Commanding::CallEnded {
                controller,
                start,
                call,
                answer,
            };
            self.later(self.now + delay + travel, ended);
        }
    }

    /// Notes each order and each rise of an epoch as the platform committed it.
    pub(super) fn read_records(&mut self) {
        let mut committed = Vec::new();
        for record in self.platform.records_after(self.records_read) {
            self.records_read = record.sequence;
            if let Some(writes) = store::committed_writes(record) {
                committed.extend(writes.iter().map(|write| (record.at, write.clone())));
            }
        }
        for (at, write) in committed {
            self.note_write(at, &write);
        }
    }

    fn note_write(&mut self, at: MonotonicTime, write: &Write) {
        let value = write.value.as_deref().unwrap_or_default();
        for zone in 0..self.epochs.len() {
            if write.key == epoch_key(&Self::zone_id(zone))
                && let Ok(EpochRow { token }) = serde_json::from_str(value)
            {
                self.epochs[zone] = token;
                self.history.takings.push((zone, at, token));
            }
        }
        let engine = self
            .engines
            .iter()
            .position(|process| write.key == engine_key(&Self::zone_id(process.zone), &process.engine));
        if let (Some(engine), Ok(row)) = (engine, serde_json::from_str::<EngineRow>(value)) {
            let epoch = self.epochs[self.engines[engine].zone];
            let order = row.to_order(&self.engines[engine].engine);
            self.history.commits.push(OrderCommit {
                at,
                engine,
                order,
                epoch,
            });
        }
    }
}
