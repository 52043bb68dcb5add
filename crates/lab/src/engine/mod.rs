//! The stand-in for an engine: the engine model behind HTTP, with faults that can be switched at run time.

mod answers;
mod clock;
mod config;
mod faults;
mod import;
mod log;
mod respond;
mod routes;
mod server;
mod shared;
mod stream;
mod weights;

pub use config::{EngineConfig, WeightStoreConfig};
pub use faults::EngineServerFaults;
pub use log::{EngineLog, OrderRecord};
pub use server::{EngineHandle, EngineServer, StartError};
