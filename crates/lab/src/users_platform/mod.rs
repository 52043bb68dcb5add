//! Small stand-ins of the users' platform, on its published wire: the store with conditions and a feed, and engines
//! that read prompts, run outputs and take orders.

mod engine;
mod store;

pub use engine::{EngineFault, EngineSettings, ModelEngine, OrderRecord, RunRecord};
pub use store::{StandInStore, StoreMode};
