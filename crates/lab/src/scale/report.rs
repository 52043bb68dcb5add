//! The table that the capacity page quotes.

use super::fit::Line;
use super::result::SizeResult;
use std::fmt::Write as _;
use std::time::Duration;

/// One row of the table: a name and its figure at a size.
type Row = (&'static str, fn(&SizeResult) -> String);

/// One figure that a line is fitted to: its name, the figure, its unit, and how many digits count.
type Fitted = (&'static str, fn(&SizeResult) -> f64, &'static str);

const ROWS: [Row; 24] = [
    ("engines", |result| result.engines.to_string()),
    (
        "all nodes and engines known and the bundle in force everywhere after a cold start, s",
        |result| seconds(result.joined),
    ),
    ("datagram bytes in and out a second, mean", |result| {
        whole(result.steady.bytes.mean)
    }),
    ("datagram bytes in and out a second, 95 in 100", |result| {
        whole(result.steady.bytes.p95)
    }),
    ("datagram bytes in and out a second, worst", |result| {
        whole(result.steady.bytes.worst)
    }),
    ("of these out to other regions, mean", |result| {
        whole(result.steady.far_bytes.mean)
    }),
    ("datagrams in and out a second, mean", |result| {
        tenths(result.steady.datagrams.mean)
    }),
    ("questions to engines a second, mean", |result| {
        tenths(result.steady.questions.mean)
    }),
    ("questions to engines a second, worst", |result| {
        tenths(result.steady.questions.worst)
    }),
    ("share of a core for a node, %", |result| {
        thousandths(result.steady.processor_share * 100.0)
    }),
    ("resident memory of the process, MB", |result| {
        tenths(result.steady.resident_bytes / 1e6)
    }),
    ("age of load, same zone, mean / 95 in 100, s", |result| {
        format!(
            "{} / {}",
            tenths(result.steady.near_load_age.mean),
            tenths(result.steady.near_load_age.p95)
        )
    }),
    ("age of load, all engines, mean / 95 in 100, s", |result| {
        format!(
            "{} / {}",
            tenths(result.steady.load_age.mean),
            tenths(result.steady.load_age.p95)
        )
    }),
    ("table calls a second, whole fleet", |result| {
        tenths(result.steady.table_calls_per_second)
    }),
    ("list reads a second, whole fleet", |result| {
        tenths(result.steady.list_calls_per_second)
    }),
    ("bundle change in force everywhere, s", |result| {
        seconds(result.bundle_in_force)
    }),
    ("bytes over TCP for the change, mean of a node", |result| {
        whole(result.bundle_bytes)
    }),
    ("leaving / new engine known everywhere, s", |result| {
        format!(
            "{} / {}",
            seconds(result.leaving_known),
            seconds(result.new_known)
        )
    }),
    ("dead engine / dead node known everywhere, s", |result| {
        format!(
            "{} / {}",
            seconds(result.dead_engine_known),
            seconds(result.dead_node_known)
        )
    }),
    ("same facts after a zone's cut healed, s", |result| {
        seconds(result.agreed_after_cut)
    }),
    ("called dead by the cut alone", |result| {
        result.dead_by_cut.to_string()
    }),
    ("bytes a second while healing, 95 in 100 / worst", |result| {
        format!(
            "{} / {}",
            whole(result.heal_bytes.p95),
            whole(result.heal_bytes.worst)
        )
    }),
    ("restart known everywhere, s; bytes a second, worst", |result| {
        format!(
            "{}; {}",
            seconds(result.restart_known),
            whole(result.restart_bytes.worst)
        )
    }),
    (
        "store away: calls a second, whole fleet; oldest confirmation, s",
        |result| {
            let age = tenths(result.away_confirmation_age.as_secs_f64());
            format!("{}; {age}", tenths(result.away_calls_per_second))
        },
    ),
];

const FITTED: [Fitted; 6] = [
    (
        "datagram bytes a second of a node, mean",
        |result| result.steady.bytes.mean,
        "bytes/s",
    ),
    (
        "datagram bytes a second of a node, 95 in 100",
        |result| result.steady.bytes.p95,
        "bytes/s",
    ),
    (
        "questions to engines a second of a node",
        |result| result.steady.questions.mean,
        "/s",
    ),
    (
        "share of a core of a node",
        |result| result.steady.processor_share * 100.0,
        "%",
    ),
    (
        "resident memory of the process",
        |result| result.steady.resident_bytes / 1e6,
        "MB",
    ),
    (
        "table calls a second of the fleet",
        |result| result.steady.table_calls_per_second,
        "/s",
    ),
];

/// The table and the fitted lines, in Markdown.
pub fn markdown(results: &[SizeResult]) -> String {
    let mut text = String::from("| nodes |");
    for result in results {
        let _ = write!(text, " {} |", result.nodes);
    }
    let _ = writeln!(text, "\n| --- |{}", " --- |".repeat(results.len()));
    for (name, figure) in ROWS {
        let _ = write!(text, "| {name} |");
        for result in results {
            let _ = write!(text, " {} |", figure(result));
        }
        text.push('\n');
    }
    text.push_str(
        "\nLeast-squares lines over the number of nodes:\n\n| figure | at none | for each node |\n",
    );
    text.push_str("| --- | --- | --- |\n");
    for (name, figure, unit) in FITTED {
        let points: Vec<(f64, f64)> = results
            .iter()
            .map(|result| (result.nodes as f64, figure(result)))
            .collect();
        if let Some(line) = Line::through(&points) {
            let _ = writeln!(
                text,
                "| {name} | {:.4} {unit} | {:.5} {unit} |",
                line.start, line.slope
            );
        }
    }
    text
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("not within the wait".to_owned(), |time| {
        format!("{:.1}", time.as_secs_f64())
    })
}

fn whole(figure: f64) -> String {
    format!("{figure:.0}")
}

fn tenths(figure: f64) -> String {
    format!("{figure:.1}")
}

fn thousandths(figure: f64) -> String {
    format!("{figure:.3}")
}
