//! Engines that operators have the router leave alone for a while.
//!
//! All cordons stand in one row of the platform's table, which is replaced on the condition that it is as it was read,
//! so that two operators never undo each other's word unseen. Each replacement has a higher version. Nodes tell each
//! other the version that they have; whoever lacks one takes the set from the node that told. A cordon names the time
//! at which it lifts itself, so a node that hears nothing more ends it all the same.
//!
//! A cordoned engine finishes what it has. It is chosen again where no other can take a request, unless the operator
//! has said that it must not be.
//!
//! A cordon of a region covers the engines of all its pools in all its zones. Its nodes send their requests to other regions first
//! ([`CordonSet::region_cordon`]). Builds that know no region targets use the zone cordons that are kept beside it.

mod change;
mod least_left;
mod regions;
mod set;
mod target;

pub use change::{CordonChange, CordonRefusal, NewCordon};
pub use least_left::{CordonSettings, EngineStanding};
pub use regions::RegionCordon;
pub use set::{CORDONS_ROW, Cordon, CordonSet};
pub use target::{CordonTarget, TargetError};
