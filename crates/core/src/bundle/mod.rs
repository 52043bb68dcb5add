//! Bundles: the versioned content that operators sign and roll out.

pub mod content;
