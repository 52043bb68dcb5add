//! Selection of the engines that run a request.
//!
//! [`router::KvRouter`] maintains one view per engine from membership records, cache events and the outcomes of its own
//! dispatches. It compares candidates by the cost defined in [`cost`].

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
