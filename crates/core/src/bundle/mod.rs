//! Bundles: the versioned content that operators sign and roll out.
//!
//! [`content`] is what a bundle says. [`manifest`] splits it into content-named parts, [`signature`] signs it,
//! [`acceptance`] puts it into the one history, and [`keeper`] brings it into force in each process.

pub mod acceptance;
mod assemble;
pub mod canonical;
mod chain;
pub mod confirmation;
pub mod content;
pub mod contents;
pub mod digest;
pub mod error;
pub mod in_force;
pub mod keeper;
pub mod manifest;
pub mod signature;
pub mod validate;

pub use confirmation::HeadSource;
pub use digest::Digest;
pub use error::BundleError;
pub use in_force::{BundleInForce, Head};
pub use keeper::{BundleKeeper, KeeperEvent};
