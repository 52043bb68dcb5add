//! Configuration of forwarded requests: routes by host and path, the pools of engines behind them, and limits.
//!
//! A forwarded request is opaque: its bytes go to an engine and the engine's bytes come back unchanged. What the
//! system may do with it (repeat it, resume it, split it between engines) stands in its [`RouteRule`].

mod config;
mod delivery;
mod handover;
mod in_force;
pub mod max_wait;
mod returning;
mod route;
mod share;
pub mod stopping;

pub use config::{CallerLimits, ForwardingConfig, ModelTraits, PoolConfig, PoolId};
pub use delivery::{Delivery, DeliverySettings};
pub use handover::HandoverSettings;
pub use in_force::{Adoption, ConfigInForce};
pub use returning::CallerWaits;
pub use route::{PoolShare, RepeatRule, RouteId, RouteRule};
pub use share::ShareRotation;
