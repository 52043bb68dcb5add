//! Retry budgets and circuits.
