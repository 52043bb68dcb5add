//! Retry budgets and circuits.

pub mod backoff;
pub mod budget;
pub mod circuit;
