//! Choice of the engine for a request.
