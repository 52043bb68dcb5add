//! How many connections to an engine a node may keep open while nothing is under way on them.
//!
//! An engine takes so many connections from all nodes together and resets more. Resting ones may take a part of that, which
//! is divided among the nodes:
//!
//! ```text
//! share   = limit * RESTING_PART / nodes
//! allowed = whole part of share, and one more at as many of the engines as its fraction says, but MOST_RESTING at most
//! ```
//!
//! At which engines a node has one more follows from both names, so the nodes agree without a word.

use crate::membership::rendezvous;
use crate::membership::subject::{SubjectHandle, mix};

/// Part of an engine's connections that may rest; the others are for requests that come at the same moment, and for the
/// chance by which more nodes than their share would have one more at an engine.
const RESTING_PART: f64 = 0.6;

/// Most connections that a node keeps to one engine, however few nodes there are: as many as requests of one node meet there.
const MOST_RESTING: f64 = 24.0;

/// Connections to an engine that may rest at a node, where the engine takes `limit` from `nodes` nodes together.
pub fn resting_allowed(limit: u32, nodes: u32, node: SubjectHandle, engine: SubjectHandle) -> usize {
    let share = (f64::from(limit) * RESTING_PART / f64::from(nodes.max(1))).min(MOST_RESTING);
    let drawn = mix(rendezvous::weight(engine, node)) >> 11;
    let drawn = drawn as f64 / (1u64 << 53) as f64;
    share as usize + usize::from(drawn < share.fract())
}
