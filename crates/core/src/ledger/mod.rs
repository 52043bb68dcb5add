//! Claims that keep a request with an idempotency key from running twice.
//!
//! A claim is one table row per tenant and key. It is committed before the request is sent, names the engine it
//! is sent to, and is never taken over by another gateway: whoever meets it asks that engine.

pub mod batcher;
pub mod retention;
pub mod row;
