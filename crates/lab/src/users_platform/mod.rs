//! Small stand-ins of the users' platform, on its published wire: the store with conditions and a feed, engines that
//! read prompts, run outputs and take orders, and the interface that takes usage reports and orders of engines.

mod engine;
mod interface;
mod store;

pub use engine::{
    ArrivalRecord, CRASHING_BODY, CrashSwitch, EngineFault, EngineSettings, ModelEngine, OrderRecord,
    RunRecord, crashes_engines,
};
pub use interface::{InterfaceMode, ScaleOrder, StandInInterface, UsageReport};
pub use store::{StandInStore, StoreMode};
