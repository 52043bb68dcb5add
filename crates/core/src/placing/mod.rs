//! Which node of a large fleet chooses the engines of a request.
//!
//! In a small fleet each node hears of all work within milliseconds and chooses by itself. In a large one it would know
//! next to nothing: it sees few requests of its own, and messages from everybody to everybody grow with the square of
//! the nodes. There a few nodes, the placers, choose for all. [`placer_set::PlacerSet`] names them from the nodes that
//! are heard, without a message; the shared part of a prompt names the placer of a request, so that everything about
//! one part passes one node. [`placement_table::PlacementTable`] is what a placer keeps of the requests that it has
//! placed.
//!
//! Two nodes that take different ones for placers, or a placer that has just started, cost precision and break no
//! promise: an engine takes requests from any node, and a node that gets no answer chooses by itself.

pub mod config;
pub mod placement_table;
pub mod placer_set;
mod promise;
pub mod question;
