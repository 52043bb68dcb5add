//! The platform's services as one state machine without input, output or clock.

use super::config::PlatformLimits;
use super::faults::{Outage, PlatformFaults, ServiceFaults};
use super::machines::LaggingMachines;
use super::objects::Objects;
use super::record::{PlatformRecord, RecordLog, RecordedCall, RecordedVerdict};
use super::table::Table;
use super::token_bucket::TokenBucket;
use super::weights::WeightQueue;
use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::machine::Machine;
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// A call to one of the services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Applies a transaction; answered by [`PlatformAnswer::Transaction`].
    Transact(Transaction),
    /// Reads one row; answered by [`PlatformAnswer::Row`].
    ReadRow(RowKey),
    /// Reads every row under a prefix; answered by [`PlatformAnswer::Rows`].
    Scan(String),
    /// Stores an object; answered by [`PlatformAnswer::Stored`].
    PutObject {
        /// Its name.
        name: String,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Reads an object; answered by [`PlatformAnswer::Object`].
    GetObject(String),
    /// Reads the machine list; answered by [`PlatformAnswer::Machines`].
    Machines,
    /// Asks for the weight store's queue; answered by [`PlatformAnswer::WeightMillis`].
    WeightQueue {
        /// The model.
        model: ModelId,
        /// Its version.
        version: WeightVersion,
    },
    /// Joins the weight store's queue; answered by [`PlatformAnswer::WeightMillis`] until the load is complete.
    LoadWeights {
        /// The model.
        model: ModelId,
        /// Its version.
        version: WeightVersion,
        /// Size of the weights.
        bytes: u64,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// What became of a transaction.
    Transaction(TransactionOutcome),
    /// A row, if it exists.
    Row(Option<Row>),
    /// Rows, sorted by key.
    Rows(Vec<Row>),
    /// The object is stored.
    Stored,
    /// An object's bytes, if it exists.
    Object(Option<Vec<u8>>),
    /// The machine list.
    Machines(Vec<Machine>),
    /// Time in the weight store's queue, in milliseconds.
    WeightMillis(u64),
}

/// What a call gives, and how much later the caller learns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handled {
    /// The answer; [`PlatformError::AnswerLost`] stands for no answer at all.
    pub result: Result<PlatformAnswer, PlatformError>,
    /// Time to wait before the caller learns it.
    pub delay: Duration,
}

/// All services with their limits, faults and records.
#[derive(Clone, Debug)]
pub struct PlatformState {
    table: Table,
    objects: Objects,
    machines: LaggingMachines,
    weights: WeightQueue,
    gates: [ServiceGate; SERVICES],
    log: RecordLog,
}

const SERVICES: usize = 4;

/// Rate, faults and number of calls of one service.
#[derive(Clone, Debug)]
struct ServiceGate {
    bucket: TokenBucket,
    faults: ServiceFaults,
    calls: u64,
}

#[derive(Clone, Copy, Debug)]
enum Service {
    Table,
    Objects,
    Machines,
    Weights,
}

impl PlatformState {
    /// Empty services that list the given machines.
    pub fn new(limits: &PlatformLimits, machines: Vec<Machine>) -> Self {
        let lag = Duration::from_millis(limits.machine_lag_millis);
        let rates = [limits.table, limits.objects, limits.machines, limits.weights];
        Self {
            table: Table::default(),
            objects: Objects::default(),
            machines: LaggingMachines::new(lag, machines),
            weights: WeightQueue::new(limits.weight_bytes_per_second),
            gates: rates.map(|rate| ServiceGate {
                bucket: TokenBucket::full(rate),
                faults: ServiceFaults::default(),
                calls: 0,
            }),
            log: RecordLog::new(limits.kept_records),
        }
    }

    /// Replaces the faults of every service.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        let services = [faults.table, faults.objects, faults.machines, faults.weights];
        for (gate, faults) in self.gates.iter_mut().zip(services) {
            gate.faults = faults;
        }
    }

    /// Replaces the machine list; readers see it after the lag, the first list at once.
    pub fn set_machines(&mut self, machines: Vec<Machine>, now: MonotonicTime) {
        self.machines.replace(machines, now);
    }

    /// What the services were told after the given position.
    pub fn records_after(&self, sequence: u64) -> impl Iterator<Item = &PlatformRecord> {
        self.log.after(sequence)
    }

    /// Carries out one call, unless a limit or a fault is in its way.
    pub fn handle(&mut self, call: PlatformCall, now: MonotonicTime) -> Handled {
        let gate = &mut self.gates[call.service() as usize];
        gate.calls += 1;
        let delay = Duration::from_millis(gate.faults.delay_millis);
        let recorded = call.recorded();
        if let Err((error, verdict)) = gate.open(now) {
            self.log.push(now, recorded, verdict);
            return Handled {
                result: Err(error),
                delay,
            };
        }
        let lost = gate.faults.take_lost_answer(gate.calls);
        let answer = self.perform(call, now);
        let verdict = RecordedVerdict::Done {
            transaction: answer.transaction().cloned(),
            answered: !lost,
        };
        self.log.push(now, recorded, verdict);
        let result = if lost {
            Err(PlatformError::AnswerLost)
        } else {
            Ok(answer)
        };
        Handled { result, delay }
    }

    fn perform(&mut self, call: PlatformCall, now: MonotonicTime) -> PlatformAnswer {
        match call {
            PlatformCall::Transact(transaction) => {
                PlatformAnswer::Transaction(self.table.transact(&transaction))
            }
            PlatformCall::ReadRow(key) => PlatformAnswer::Row(self.table.read(&key)),
            PlatformCall::Scan(prefix) => PlatformAnswer::Rows(self.table.scan(&prefix)),
            PlatformCall::PutObject { name, bytes } => {
                self.objects.put(&name, &bytes);
                PlatformAnswer::Stored
            }
            PlatformCall::GetObject(name) => PlatformAnswer::Object(self.objects.get(&name)),
            PlatformCall::Machines => PlatformAnswer::Machines(self.machines.read(now)),
            PlatformCall::WeightQueue { .. } => {
                PlatformAnswer::WeightMillis(whole_millis(self.weights.wait(now)))
            }
            PlatformCall::LoadWeights { bytes, .. } => {
                PlatformAnswer::WeightMillis(whole_millis(self.weights.join(bytes, now)))
            }
        }
    }
}

impl ServiceGate {
    fn open(&mut self, now: MonotonicTime) -> Result<(), (PlatformError, RecordedVerdict)> {
        match self.faults.outage {
            Outage::None => {}
            Outage::Refusing => return Err((PlatformError::Unavailable, RecordedVerdict::Unavailable)),
            Outage::Silent => return Err((PlatformError::AnswerLost, RecordedVerdict::Silent)),
        }
        self.bucket.take(now).map_err(|wait| {
            let error = PlatformError::Throttled {
                retry_after_millis: whole_millis(wait).max(1),
            };
            (error, RecordedVerdict::Throttled)
        })
    }
}

impl PlatformCall {
    fn service(&self) -> Service {
        match self {
            Self::Transact(_) | Self::ReadRow(_) | Self::Scan(_) => Service::Table,
            Self::PutObject { .. } | Self::GetObject(_) => Service::Objects,
            Self::Machines => Service::Machines,
            Self::WeightQueue { .. } | Self::LoadWeights { .. } => Service::Weights,
        }
    }

    fn recorded(&self) -> RecordedCall {
        match self.clone() {
            Self::Transact(transaction) => RecordedCall::Transact { transaction },
            Self::ReadRow(key) => RecordedCall::ReadRow { key },
            Self::Scan(prefix) => RecordedCall::Scan { prefix },
            Self::PutObject { name, bytes } => RecordedCall::PutObject {
                name,
                bytes: bytes.len(),
            },
            Self::GetObject(name) => RecordedCall::GetObject { name },
            Self::Machines => RecordedCall::Machines,
            Self::WeightQueue { model, version } => RecordedCall::WeightQueue { model, version },
            Self::LoadWeights {
                model,
                version,
                bytes,
            } => RecordedCall::LoadWeights {
                model,
                version,
                bytes,
            },
        }
    }
}

impl PlatformAnswer {
    fn transaction(&self) -> Option<&TransactionOutcome> {
        match self {
            Self::Transaction(outcome) => Some(outcome),
            _ => None,
        }
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
