//! Small stand-ins of the users' platform, on its published wire: the store with conditions and a feed, engines that
//! read prompts, run outputs and take orders, and the interface that takes usage reports and orders of engines.

mod deferral;
mod engine;
mod engine_answers;
mod engine_crashes;
mod engine_records;
mod engine_settings;
mod engine_state;
mod engine_work;
mod interface;
mod store;
mod store_rows;

pub use deferral::{DEFERRAL_MILLIS, DeferralCount, DeferralDelay};
pub use engine::ModelEngine;
pub use engine_crashes::{CRASHING_BODY, CRASHING_PART, CrashCause, CrashSwitch, crashes_engines};
pub use engine_records::{ArrivalRecord, BackoffRecord, DrainRecord, LimitRecord, OrderRecord, RunRecord};
pub use engine_settings::{EngineFault, EngineSettings, USUAL_SOFTWARE_VERSION};
pub use engine_work::{
    BREAKING_BODY, EVENTS_BEFORE_BREAK, FILLING_BYTES, LASTING_ANSWER_BODY, LASTING_ANSWER_EVENTS,
    LONG_ANSWER_BODY, LONG_ANSWER_EVENTS, MachinePace, SLOW_ANSWER_BODY, STALLING_ANSWER_BODY,
    USUAL_PACE_PERCENT, VERSIONED_BODY, WORKING_ANSWER_BODY, event, wants_long_answer, without_filling,
};
pub use interface::{DutyCall, InterfaceMode, ScaleOrder, StandInInterface, UsageReport};
pub use store::{StandInStore, StoreMode};
pub use store_rows::StoreCopy;
