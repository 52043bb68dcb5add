//! Requests that crash the engines that run them (queries of death).

mod fingerprint;

pub use fingerprint::{Fingerprint, RequestContent};
