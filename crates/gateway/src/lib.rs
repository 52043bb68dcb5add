//! The gateway: callers' API, administration API, admission, routing and streaming.

pub mod admin;
