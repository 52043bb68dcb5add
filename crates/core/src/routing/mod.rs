//! Choice of the engine for a request.
//!
//! [`router::KvRouter`] keeps one view per engine, fed by records, cache events and the fate of its own
//! dispatches, and compares candidates by the cost that [`cost`] documents.

pub mod cache;
pub mod cost;
pub mod health;
pub mod pool;
pub mod prefix;
pub mod query;
pub mod router;
pub mod slow_start;
pub mod view;
pub mod weights;

mod capacity;
mod selection;

pub use query::{DispatchTicket, FinishedWork, Route, RouteEstimate, RouteQuery, RouteTarget};
pub use router::KvRouter;
pub use weights::RoutingWeights;
