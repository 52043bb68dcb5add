//! Selection of engines for forwarded requests.
//!
//! Unlike [`super::router::KvRouter`], which compares engines by their load reports, [`PoolRouter`] estimates load from
//! the requests in flight at this node and from the reports of peers. It assumes that an engine holds the prompt
//! prefixes that were prefilled there. A shared prefix that no engine is known to hold is assigned by rendezvous
//! hashing, so that nodes agree without communication.
//!
//! [`cost`] documents the cost formula.

mod admission;
mod beliefs;
mod choice;
mod concurrent_work;
mod cordons;
pub mod cost;
mod dispatches;
mod distant_prefixes;
mod ended_starts;
mod engine;
mod expectation;
mod limits;
mod list_changes;
mod listing;
mod neighbours;
mod pace;
mod paths;
pub mod pauses;
mod pool_speeds;
mod prefix_cache;
mod prompt_demand;
mod query;
mod reachability;
mod recent;
mod reclaims;
mod region_capacity;
mod risk;
mod router;
mod signals;
mod silences;
mod speed;
mod weights;
mod working_set;

pub use admission::{Admission, AdmissionDecision, LATE_RANK, PoolAdmission, RequestTiming};
pub use beliefs::{
    PeerLoad, PeerLoadSlice, PrefixUpdate, RANK_COUNT, UnansweredRequestReport, rank_for_priority,
};
pub use choice::{EngineEstimate, Explanation, PoolRoute};
pub use concurrent_work::ConcurrentWork;
pub use cordons::{ActiveCordon, AvoidanceReason};
pub use cost::shared_prefixes;
pub use dispatches::{KvCacheSource, PoolTicket};
pub use engine::{EngineLoad, EngineStage, EngineState, PoolEngine, ReportedLoad};
pub use expectation::{EstimateError, PrefillPauses, RejectionRate};
pub use list_changes::KnownChanges;
pub use listing::{EngineListing, ListChange, ListSnapshot};
pub use pace::{
    EnginePace, EnginePaceUse, LongTermPace, LongTermPaceReport, MomentaryPace, PaceChange, PacePersistence,
    PaceReports, PaceSpread, PoolPace, ReportedPace,
};
pub use paths::{PathChange, PathState, Paths};
pub use pool_speeds::PoolSpeeds;
pub use prefix_cache::PrefixCacheEstimate;
pub use query::{PoolQuery, PrefixBlock, PromptPart, PromptShape, RequestConstraints};
pub use recent::{ListUpdate, RecentChanges};
pub use router::PoolRouter;
pub use signals::NotAccepting;
pub use silences::EngineAvailabilityChange;
pub use speed::PrefillSpeed;
pub use weights::PoolWeights;
pub use working_set::{WorkingSetChange, WorkingSetSettings};
