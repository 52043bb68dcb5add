//! Retry budgets and pauses; engines that fail are left alone by [`crate::routing::health`].

pub mod arrivals;
pub mod backoff;
pub mod budget;
pub mod census;
pub mod sharing;
pub mod window;
