//! `shelfjunction pool-engines`: engines as a node on the users' platform knows them.

use super::node_page::{NodePages, Page};
use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use shelfjunction_protocol::cordons::{ENGINES_PATH, EngineView, EnginesView};

/// Runs `shelfjunction pool-engines`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::POOL_ENGINES)
        .value("node", "metrics address of a node", "IP:PORT")
        .flag("json", "print JSON");
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    values.no_arguments()?;
    let page: Page<EnginesView> = NodePages::of(&values)?.read(ENGINES_PATH)?;
    if values.has("json") {
        println!("{}", page.text);
    } else {
        print!("{}", render(&page.view));
    }
    Ok(())
}

/// The text that is printed.
pub fn render(view: &EnginesView) -> String {
    if view.engines.is_empty() {
        return format!("node {}: no engines\n", view.node);
    }
    let headings = [
        "engine",
        "start",
        "pool",
        "zone",
        "stage",
        "work takes",
        "requests",
        "outputs",
        "waiting",
        "prompt tokens",
        "left alone",
    ];
    let rows: Vec<Vec<String>> = view.engines.iter().map(row).collect();
    format!("node {}\n{}", view.node, table::render(&headings, &rows))
}

fn row(engine: &EngineView) -> Vec<String> {
    vec![
        engine.engine.clone(),
        engine.start.to_string(),
        engine.pool.clone(),
        engine.zone.clone(),
        engine.stage.clone(),
        format!("{:.2}", engine.work_factor),
        engine.requests.to_string(),
        engine.outputs.to_string(),
        engine
            .waiting
            .map_or_else(|| "-".to_owned(), |waiting| waiting.to_string()),
        engine.prompt_tokens.to_string(),
        left_alone(engine),
    ]
}

fn left_alone(engine: &EngineView) -> String {
    match (&engine.left_alone, engine.left_alone_seconds) {
        (None, _) => "no".to_owned(),
        (Some(cause), None) => cause.clone(),
        (Some(cause), Some(seconds)) => format!("{cause}, {seconds:.1} s more"),
    }
}
