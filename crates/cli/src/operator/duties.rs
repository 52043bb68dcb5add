//! `shelfjunction duties`: what a node knows of usage reports and of the plan of engines.

use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use shelfjunction_protocol::duties::{DUTIES_PATH, DutiesView, PlanView, UsageView};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for the whole answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest answer that is read, in bytes.
const MOST_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Runs `shelfjunction duties`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::DUTIES)
        .value("node", "metrics address of a node", "IP:PORT")
        .flag("json", "print JSON");
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    values.no_arguments()?;
    let node = values.require("node")?;
    let address: SocketAddr = node
        .parse()
        .map_err(|_| values.usage(&format!("--node {node}: allowed is IP:PORT")))?;
    let body = fetch(address)?;
    let view: DutiesView = serde_json::from_slice(&body)
        .map_err(|error| CommandError::Failed(format!("{address} told no duties: {error}")))?;
    if values.has("json") {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        print!("{}", render(&view));
    }
    Ok(())
}

fn fetch(address: SocketAddr) -> Result<Vec<u8>, CommandError> {
    let failed = |error: ureq::Error| CommandError::Failed(format!("{address} did not answer: {error}"));
    let mut answer = ureq::get(format!("http://{address}{DUTIES_PATH}"))
        .config()
        .timeout_global(Some(CALL_TIMEOUT))
        .proxy(None)
        .max_redirects(0)
        .build()
        .call()
        .map_err(failed)?;
    let body = answer.body_mut().with_config().limit(MOST_ANSWER_BYTES);
    body.read_to_vec().map_err(failed)
}

/// The text that is printed.
pub fn render(view: &DutiesView) -> String {
    let lease = match view.token {
        Some(token) => format!("holds the lease, token {token}"),
        None => "does not hold the lease".to_owned(),
    };
    let mut text = format!("node {} {lease}\n", view.node);
    if let Some(usage) = &view.usage {
        text.push_str(&render_usage(usage));
    }
    for plan in &view.plans {
        text.push_str(&render_plan(plan));
    }
    text
}

fn render_usage(usage: &UsageView) -> String {
    let confirmed = usage
        .confirmed_through
        .map_or("none".to_owned(), |window| window.to_string());
    let mut text = format!(
        "\nusage in windows of {} s; confirmed through {confirmed}, {} not confirmed\n",
        usage.window_seconds, usage.unconfirmed
    );
    let rows: Vec<Vec<String>> = usage
        .windows
        .iter()
        .map(|window| {
            vec![
                window.window.to_string(),
                window.counts.len().to_string(),
                window.counts.values().sum::<u64>().to_string(),
                if window.missing.is_empty() {
                    "none".to_owned()
                } else {
                    window.missing.join(",")
                },
            ]
        })
        .collect();
    text.push_str(&table::render(
        &["window", "tenants", "requests", "missing"],
        &rows,
    ));
    text
}

fn render_plan(plan: &PlanView) -> String {
    let mut text = format!(
        "\npool {}: demand of late keeps {:.1} engines busy\n",
        plan.pool, plan.load
    );
    let headings = ["zone", "on demand", "wanted", "spot", "wanted", "spot to be had"];
    let rows: Vec<Vec<String>> = plan
        .zones
        .iter()
        .map(|zone| {
            vec![
                zone.zone.clone(),
                zone.on_demand_running.to_string(),
                zone.on_demand_wanted.to_string(),
                zone.spot_running.to_string(),
                zone.spot_wanted.to_string(),
                if zone.without_spot { "no" } else { "yes" }.to_owned(),
            ]
        })
        .collect();
    text.push_str(&table::render(&headings, &rows));
    text
}
