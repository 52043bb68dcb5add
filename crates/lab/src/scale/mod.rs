//! What the control plane costs as the fleet grows, measured with hollow nodes on loopback.
//!
//! A hollow node runs the real membership, the real bundle keeper and the real peer frames over UDP and TCP, and
//! reads the stand-in platform as its zone's poller. It serves no requests. Hollow nodes share one process;
//! hollow engines are asked in memory, and what a question costs on the wire is measured apart.

pub mod bundles;
pub mod counting_link;
pub mod driver;
pub mod fit;
pub mod fleet;
pub mod hollow_engine;
pub mod hollow_node;
pub mod known;
pub mod links;
pub mod measure;
pub mod options;
pub mod peer_port;
pub mod plan;
pub mod plot;
pub mod real;
pub mod report;
pub mod result;
pub mod scenario;

pub use options::ScaleOptions;
pub use result::{ScaleError, SizeResult};

/// Runs every size and gives what was measured, the smallest first.
pub fn run(options: &ScaleOptions) -> Result<Vec<SizeResult>, ScaleError> {
    options
        .sizes
        .iter()
        .map(|nodes| scenario::run_size(*nodes, options))
        .collect()
}
