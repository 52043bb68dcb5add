//! Model of an engine: continuous batching with separate prefill and decode costs, a limited prefix cache and fenced orders.
//!
//! Time comes in as an argument and nothing here does input or output, so the stand-in server, the fuzzers and the
//! simulator all run this code. [`EngineState`] counts tokens only and is what the simulator drives;
//! [`EngineModel`] adds request identities and answer texts for the stand-in and the fuzzers.

pub mod answer;
pub mod config;

mod batch;
mod call;
mod exports;
mod faults;
mod kv_log;
mod load;
mod model;
mod orders;
mod prefix_cache;
mod runs;
mod sequence;
mod start;
mod state;

pub use config::EngineModelConfig;
pub use exports::KvExport;
pub use faults::EngineFaults;
pub use model::{EngineModel, NextPart};
pub use orders::{CompletedChange, OrderExecutor};
pub use runs::RunNumber;
pub use sequence::{BatchEvent, BatchEventKind, SequenceKey, SequenceWork};
pub use state::{EngineState, WorkTarget};
