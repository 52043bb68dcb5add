//! `shelfjunction cordons`: engines that operators have left alone, as a node knows them.

use super::node_page::{NodePages, Page};
use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed, Values};
use crate::usage;
use shelfjunction_core::cordon::CordonTarget;
use shelfjunction_protocol::cordons::{CORDONS_PATH, CordonRequest, CordonView, CordonsView};

/// Runs `shelfjunction cordons`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::CORDONS)
        .value("node", "metrics address of a node", "IP:PORT")
        .value("cordon", "leave engines alone", "TARGET")
        .value("lift", "use engines again", "TARGET")
        .value("by", "who asks for the cordon", "NAME")
        .value("seconds", "time after which a cordon lifts itself", "N")
        .flag("force", "even where too few engines are left")
        .flag("json", "print JSON");
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    values.no_arguments()?;
    let node = NodePages::of(&values)?;
    if let Some(text) = values.get("lift") {
        return lift(&node, &target(&values, "lift", &text)?);
    }
    if let Some(text) = values.get("cordon") {
        let request = request(&values, &target(&values, "cordon", &text)?)?;
        return cordon(&node, &request);
    }
    let page: Page<CordonsView> = node.read(CORDONS_PATH)?;
    if values.has("json") {
        println!("{}", page.text);
    } else {
        print!("{}", render(&page.view));
    }
    Ok(())
}

fn target(values: &Values, option: &str, text: &str) -> Result<CordonTarget, CommandError> {
    text.parse()
        .map_err(|error| values.usage(&format!("--{option}: {error}")))
}

fn request(values: &Values, target: &CordonTarget) -> Result<CordonRequest, CommandError> {
    let seconds = values.require("seconds")?;
    let seconds = seconds
        .parse()
        .map_err(|_| values.usage(&format!("--seconds {seconds}: allowed is a whole number")))?;
    Ok(CordonRequest {
        target: target.to_string(),
        by: values.require("by")?.to_owned(),
        seconds,
        force: values.has("force"),
    })
}

fn cordon(node: &NodePages, request: &CordonRequest) -> Result<(), CommandError> {
    let body = serde_json::to_string(request).map_err(|error| CommandError::Failed(error.to_string()))?;
    let view: CordonsView = node.post(CORDONS_PATH, &body)?;
    print!("{}", render(&view));
    Ok(())
}

fn lift(node: &NodePages, target: &CordonTarget) -> Result<(), CommandError> {
    if !node.delete(&format!("{CORDONS_PATH}/{target}"))? {
        return Err(CommandError::Failed(format!("{target} is not cordoned")));
    }
    println!("lifted {target}");
    Ok(())
}

/// The text that is printed.
pub fn render(view: &CordonsView) -> String {
    let head = format!(
        "node {}: version {}, told by {} of {} nodes that it hears\n",
        view.node, view.version, view.nodes_alike, view.nodes_heard
    );
    if view.cordons.is_empty() {
        return format!("{head}no cordons\n");
    }
    let headings = ["target", "by", "for s", "left s", "forced"];
    let rows: Vec<Vec<String>> = view.cordons.iter().map(row).collect();
    format!("{head}{}", table::render(&headings, &rows))
}

fn row(cordon: &CordonView) -> Vec<String> {
    vec![
        cordon.target.clone(),
        cordon.by.clone(),
        cordon.since_seconds.to_string(),
        cordon.left_seconds.to_string(),
        if cordon.forced { "yes" } else { "no" }.to_owned(),
    ]
}
