//! JSON bodies of the administration API.
