//! `shelfjunction quarantine`: requests and parts of prompts under which engines crashed, as a node knows them.

use super::node_page::{NodePages, Page};
use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_protocol::quarantine::{QUARANTINE_PATH, QuarantineView, SuspectView};

/// Runs `shelfjunction quarantine`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::QUARANTINE)
        .value("node", "metrics address of a node", "IP:PORT")
        .value(
            "lift",
            "let a request, or requests with a part, run again",
            "FINGERPRINT",
        )
        .flag("json", "print JSON");
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    values.no_arguments()?;
    let node = NodePages::of(&values)?;
    if let Some(text) = values.get("lift") {
        let fingerprint: Fingerprint = text
            .parse()
            .map_err(|error| values.usage(&format!("--lift: {error}")))?;
        return lift(&node, &fingerprint);
    }
    let page: Page<QuarantineView> = node.read(QUARANTINE_PATH)?;
    if values.has("json") {
        println!("{}", page.text);
    } else {
        print!("{}", render(&page.view));
    }
    Ok(())
}

fn lift(node: &NodePages, fingerprint: &Fingerprint) -> Result<(), CommandError> {
    if !node.delete(&format!("{QUARANTINE_PATH}/{fingerprint}"))? {
        return Err(CommandError::Failed(format!(
            "nothing counts against {fingerprint}"
        )));
    }
    println!("lifted {fingerprint}");
    Ok(())
}

/// The text that is printed.
pub fn render(view: &QuarantineView) -> String {
    if view.requests.is_empty() && view.parts.is_empty() {
        return format!("node {}: no engine crashed under a request\n", view.node);
    }
    let headings = [
        "fingerprint",
        "part",
        "standing",
        "crashes",
        "route",
        "pool",
        "tenant",
        "counts for s",
        "refused here",
    ];
    let suspects = view.requests.iter().chain(&view.parts);
    let rows: Vec<Vec<String>> = suspects.map(row).collect();
    format!("node {}\n{}", view.node, table::render(&headings, &rows))
}

fn row(suspect: &SuspectView) -> Vec<String> {
    let or_none = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".to_owned());
    vec![
        suspect.fingerprint.clone(),
        or_none(&suspect.part),
        suspect.standing.clone(),
        suspect.crashes.to_string(),
        suspect.route.clone(),
        suspect.pool.clone(),
        or_none(&suspect.tenant),
        suspect.counts_for_seconds.to_string(),
        suspect.refused.to_string(),
    ]
}
