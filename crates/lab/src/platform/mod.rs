//! Stand-in of the platform: table service, object store, lagging machine list and rate-limited weight store.
//!
//! [`state`] decides and holds everything without input or output; [`server`] offers it over HTTP.

pub mod config;
pub mod faults;
mod machines;
mod objects;
pub mod record;
mod routes;
pub mod server;
pub mod state;
mod table;
mod token_bucket;
mod weights;

pub use config::PlatformConfig;
pub use server::{PlatformHandle, PlatformServer};
