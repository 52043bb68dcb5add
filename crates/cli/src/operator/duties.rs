//! `shelfjunction duties`: what a node knows of usage reports and of the plan of engines.

use super::node_page::{NodePages, Page};
use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use shelfjunction_protocol::duties::{DUTIES_PATH, DutiesView, PlanView, UsageView};
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
    let page: Page<DutiesView> = NodePages::of(&values)?.read(DUTIES_PATH)?;
    if values.has("json") {
        println!("{}", page.text);
    } else {
        print!("{}", render(&page.view));
    }
    Ok(())
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
