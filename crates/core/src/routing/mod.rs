//! Choice of the engine for a request.

pub mod prefix;
