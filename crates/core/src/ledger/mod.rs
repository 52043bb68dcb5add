//! Claims that keep a request with an idempotency key from running twice.
//!
//! A claim is one table row per tenant and key. It is committed before the request is sent, names the engine it
//! is sent to, and is never taken over by another gateway: whoever meets it asks that engine. A claim under which
//! nothing ran is released by its owner; the released row may be claimed anew.

pub mod batcher;
pub mod release;
pub mod retention;
pub mod row;
