//! Claims that keep a request with an idempotency key from running twice.
