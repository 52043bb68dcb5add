//! Estimates of demand by model and class from arrivals and finished requests.
//!
//! A gateway feeds its [`estimator::DemandEstimator`]; its [`report::DemandReport`]s go to controllers, which add
//! them up for the planner.

pub mod estimator;
pub mod outlook;
pub mod rate;
pub mod report;

pub use estimator::DemandEstimator;
pub use outlook::{DemandHistory, DemandOutlook, DemandScenario};
pub use rate::RateEstimate;
pub use report::{DemandEntry, DemandReport};
