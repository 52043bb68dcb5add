//! JSON bodies of the callers' API.
