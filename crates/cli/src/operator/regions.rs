//! `shelfjunction regions`: the regions of a deployment as a node knows them.

use super::node_page::{NodePages, Page};
use super::table;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use shelfjunction_protocol::regions::{REGIONS_PATH, RegionView, RegionsView};

/// Runs `shelfjunction regions`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::REGIONS)
        .value("node", "metrics address of a node", "IP:PORT")
        .flag("json", "print JSON");
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    values.no_arguments()?;
    let page: Page<RegionsView> = NodePages::of(&values)?.read(REGIONS_PATH)?;
    if values.has("json") {
        println!("{}", page.text);
    } else {
        print!("{}", render(&page.view));
    }
    Ok(())
}

/// The text that is printed.
pub fn render(view: &RegionsView) -> String {
    let Some(home) = &view.home else {
        return format!("node {}: the settings name no regions\n", view.node);
    };
    let headings = [
        "region",
        "nodes heard",
        "placers",
        "engines",
        "round trip",
        "placements",
        "cordoned",
    ];
    let rows: Vec<Vec<String>> = view.regions.iter().map(row).collect();
    let mut text = format!(
        "node {}: home region {home}\n{}",
        view.node,
        table::render(&headings, &rows)
    );
    if view.nodes_without_region > 0 {
        text.push_str(&format!(
            "nodes without a known region: {}\n",
            view.nodes_without_region
        ));
    }
    if !view.unnamed_zones.is_empty() {
        text.push_str(&format!(
            "zones that the settings do not name: {}\n",
            view.unnamed_zones.join(", ")
        ));
    }
    text
}

fn row(region: &RegionView) -> Vec<String> {
    let engines = region.engines.iter();
    let engines: Vec<String> = engines.map(|(stage, count)| format!("{count} {stage}")).collect();
    let placers = match (region.placers.len(), region.is_placer) {
        (0, _) => "-".to_owned(),
        (count, true) => format!("{count}, this one too"),
        (count, false) => count.to_string(),
    };
    vec![
        region.region.clone(),
        format!("{} of {}", region.nodes_heard, region.nodes_known),
        placers,
        if engines.is_empty() {
            "none".to_owned()
        } else {
            engines.join(", ")
        },
        round_trip(region),
        region.placements.to_string(),
        cordoned(region),
    ]
}

fn round_trip(region: &RegionView) -> String {
    match (region.round_trip_millis, region.round_trip_age_seconds) {
        (Some(millis), Some(age)) => format!("{millis:.1} ms, {age:.0} s ago"),
        _ => "-".to_owned(),
    }
}

fn cordoned(region: &RegionView) -> String {
    match region.cordoned_seconds {
        None => "no".to_owned(),
        Some(seconds) if region.cordoned_by_force => format!("by force, {seconds} s more"),
        Some(seconds) => format!("{seconds} s more"),
    }
}
