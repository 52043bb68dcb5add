//! `shelfjunction-lab fleet`: what a node of the users' platform keeps, hears and looks at, by the size of the fleet.

use super::{Command, CommandError, Options};
use crate::fleet;

/// The command.
pub const COMMAND: Command = Command {
    name: "fleet",
    summary: "Works out what a node on the users' platform keeps, hears and looks at as the fleet grows, at one load.",
    example: "shelfjunction-lab fleet --nodes 300 --nodes 985 --nodes 1970",
    declare,
    run,
};

/// Sizes without the option: the fleets that are served today, and twice the largest.
const SIZES: [usize; 4] = [100, 300, 985, 1_970];

/// Smallest fleet in which some nodes place requests for all.
const LEAST_NODES: usize = 20;

fn declare(options: &mut getopts::Options) {
    options.optmulti(
        "",
        "nodes",
        "nodes of a fleet, ten engines each; may be repeated (default: 100, 300, 985, 1970)",
        "COUNT",
    );
}

fn run(options: &Options) -> Result<(), CommandError> {
    let mut sizes = Vec::new();
    for nodes in sizes_asked(options)? {
        let figures = fleet::measure(nodes).map_err(|error| CommandError::failed("fleet", error))?;
        sizes.push(figures);
    }
    print!("{}", fleet::render(&sizes));
    Ok(())
}

fn sizes_asked(options: &Options) -> Result<Vec<usize>, CommandError> {
    let texts = options.texts("nodes");
    if texts.is_empty() {
        return Ok(SIZES.to_vec());
    }
    let parsed = texts
        .iter()
        .map(|text| text.parse().ok().filter(|nodes| *nodes >= LEAST_NODES));
    parsed
        .collect::<Option<Vec<usize>>>()
        .ok_or_else(|| CommandError::Usage(format!("--nodes {}: {LEAST_NODES} or more", texts.join(" "))))
}
