//! Traits for the systems outside, and one HTTP adapter for each.
//!
//! Wire formats of the platform and the engines are not published; each lives in one adapter module behind its trait.

pub mod aborting_tcp;
pub mod clock;
pub mod engine;
pub mod http_engine;
pub mod http_platform;
pub mod services;
