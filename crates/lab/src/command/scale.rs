//! `shelfjunction-lab scale`: what the control plane costs as the fleet grows.

use super::{Command, CommandError, Options};
use crate::scale::{self, ScaleOptions, plot, real, report};
use std::time::Instant;

/// The command.
pub const COMMAND: Command = Command {
    name: "scale",
    summary: "Measures what the control plane costs a node as the fleet grows, with hollow nodes on loopback.",
    example: "shelfjunction-lab scale --table scale.md --plot scale.svg",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    options.optflag(
        "",
        "small",
        "one small fleet and short phases, for correctness alone",
    );
    options.optmulti(
        "",
        "nodes",
        "nodes of a fleet; may be repeated (default: 25, 50, 100, 205, 410)",
        "COUNT",
    );
    options.optflag(
        "",
        "real",
        "measure real parts instead: a question to an engine, idle gateways and controllers",
    );
    options.optopt("", "table", "write the table as Markdown", "FILE");
    options.optopt("", "plot", "write the plot as SVG", "FILE");
}

fn run(options: &Options) -> Result<(), CommandError> {
    if options.flag("real") {
        return run_real(options);
    }
    let scale_options = scale_options(options)?;
    let begun = Instant::now();
    let results = scale::run(&scale_options).map_err(|error| CommandError::failed("scale", error))?;
    let table = report::markdown(&results);
    print!("{table}");
    eprintln!(
        "scale sizes={} seconds={:.0}",
        results.len(),
        begun.elapsed().as_secs_f64()
    );
    write_table(options, &table)?;
    if let Some(path) = options.text("plot") {
        let drawn = plot::svg(&results).map_err(|error| CommandError::failed("plot", error.0))?;
        std::fs::write(&path, drawn).map_err(|error| CommandError::failed(&path, error))?;
    }
    Ok(())
}

fn run_real(options: &Options) -> Result<(), CommandError> {
    let question = real::question_cost().map_err(|error| CommandError::failed("question", error))?;
    let clusters = real::idle_clusters().map_err(|error| CommandError::failed("clusters", error))?;
    let table = real::markdown(&question, &clusters);
    print!("{table}");
    write_table(options, &table)
}

fn write_table(options: &Options, table: &str) -> Result<(), CommandError> {
    match options.text("table") {
        Some(path) => std::fs::write(&path, table).map_err(|error| CommandError::failed(&path, error)),
        None => Ok(()),
    }
}

fn scale_options(options: &Options) -> Result<ScaleOptions, CommandError> {
    let mut chosen = if options.flag("small") {
        ScaleOptions::small()
    } else {
        ScaleOptions::full()
    };
    let sizes = options.texts("nodes");
    if !sizes.is_empty() {
        let parsed = sizes.iter().map(|size| {
            size.parse::<usize>()
                .ok()
                .filter(|size| (2..=1_000).contains(size))
        });
        chosen.sizes = parsed
            .collect::<Option<Vec<usize>>>()
            .ok_or_else(|| CommandError::Usage(format!("--nodes {}: 2 to 1000", sizes.join(" "))))?;
    }
    Ok(chosen)
}
