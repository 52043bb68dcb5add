//! The figures as a table in Markdown.

use super::{FleetFigures, power};
use std::fmt::Write as _;

/// One row: its name, its figure, and the digits after the point.
type Row = (&'static str, fn(&FleetFigures) -> f64, usize);

const ROWS: [Row; 11] = [
    ("engines listed", |figures| figures.engines as f64, 0),
    (
        "engines that a placer keeps beliefs of",
        |figures| figures.engines_in_use as f64,
        0,
    ),
    (
        "engines that a choice looks at",
        |figures| figures.served.looked_at,
        0,
    ),
    (
        "a choice, microseconds on this machine",
        |figures| figures.served.choice_micros,
        0,
    ),
    (
        "share of requests expected in time",
        |figures| figures.served.in_time as f64 / figures.served.requests as f64,
        3,
    ),
    (
        "whole list, placer to placer, kB",
        |figures| figures.whole_list_bytes as f64 / 1e3,
        1,
    ),
    (
        "list of a node off duty, kB",
        |figures| figures.list_bytes as f64 / 1e3,
        1,
    ),
    (
        "store answers for the list of nodes at a first start, per node",
        |figures| figures.pages_read,
        2,
    ),
    (
        "nodes that place after the loss of one of eight",
        |figures| figures.placing_after_loss as f64,
        0,
    ),
    (
        "datagrams of placers that a node off duty hears a second",
        |figures| figures.heard,
        2,
    ),
    (
        "datagrams to all that a placer sends a second",
        |figures| figures.sent_by_placer,
        0,
    ),
];

/// The table: a column for each size, and the power with which the figure grows from the first size to the last.
pub fn render(sizes: &[FleetFigures]) -> String {
    let mut text = String::from("| nodes |");
    sizes.iter().for_each(|size| {
        let _ = write!(text, " {} |", size.nodes);
    });
    text.push_str(" power |\n| --- |");
    text.push_str(&" --- |".repeat(sizes.len() + 1));
    text.push('\n');
    for (name, figure, digits) in ROWS {
        let _ = write!(text, "| {name} |");
        for size in sizes {
            let _ = write!(text, " {:.digits$} |", figure(size));
        }
        let ends = sizes.first().zip(sizes.last());
        let power =
            ends.and_then(|(first, last)| power((first.nodes, figure(first)), (last.nodes, figure(last))));
        let _ = writeln!(
            text,
            " {} |",
            power.map_or("–".to_owned(), |power| format!("{power:.2}"))
        );
    }
    text
}
