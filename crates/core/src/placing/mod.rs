//! Request placement: which node chooses the engines of a request.
//!
//! In a small fleet all nodes report their work to each other and every node chooses engines for its own requests. In a
//! large fleet the number of such reports would grow with the square of the number of nodes, and a node sees too few
//! requests of its own to choose without them. So a few nodes, the placers, choose engines for all requests. Every node
//! computes the [`placer_set::PlacerSet`] from the nodes that it knows to be alive, without any messages. The shared
//! prefix of a prompt decides which placer is asked, so requests with the same prefix are placed by the same node. A
//! placer records the requests that it has placed in a [`placement_table::PlacementTable`].
//!
//! If nodes disagree on the placers, or a placer has just started, estimates of engine load are less precise, but requests
//! are still served: engines accept requests from any node, and a node without an answer chooses engines itself.

pub mod config;
pub mod list_parts;
pub mod placement_table;
pub mod placer_set;
mod prediction;
pub mod question;
pub mod regional;
