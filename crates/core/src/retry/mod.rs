//! Retry budgets and pauses; engines that fail are left alone by [`crate::routing::health`].

pub mod backoff;
pub mod budget;
pub mod window;
