//! `shelfjunction explain`: the course of one request out of the logs of several processes.
//!
//! Lines are `key=value` pairs as the programs write them; what stands before `event=` on a line, such as the name of
//! a machine put there by whoever gathered the logs, is kept as the line's source. Beside the request's own lines the
//! command prints what its nodes believed when they decided: the configuration and each engine that they chose. Where
//! another node chose the engines, its decisions are found by the number under which the request was asked for. Last come
//! the regions of its engines and placers, where it left its home region, and the pauses by which a stream was late.

use super::{explain_pauses, explain_regions, files};
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed};
use crate::usage;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Events that change what a node believes of an engine.
const ENGINE_EVENTS: [&str; 4] = [
    "engine_listed",
    "engine_gone",
    "stage_ordered",
    "held_parts_listed",
];

/// Events that say what became of engines, and of other attempts, under what a request asks for.
const FINGERPRINT_EVENTS: [&str; 6] = [
    "crash_charged",
    "suspect_heard",
    "suspicion_ended",
    "refused_suspect",
    "suspect_kept",
    "dispatch_withheld",
];

/// What a placer says of another node's request: the engines that it chose, whether it accepted the request of another region, and
/// what ran beside an output that paused.
const PLACEMENT_EVENTS: [&str; 3] = ["placement_given", "spill_answered", "pause_believed"];

/// Events that change what a node believes of its dependencies.
const NODE_EVENTS: [&str; 12] = [
    "placer_changed",
    "region_placer_changed",
    "topology_changed",
    "configuration_taken",
    "engine_contact_lost",
    "engine_contact_restored",
    "store_lost",
    "store_regained",
    "stopping",
    "started",
    "lease_gained",
    "lease_lost",
];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    pub(super) source: String,
    fields: BTreeMap<String, String>,
    text: String,
}

impl LogLine {
    /// Reads a line; absent where it holds no event. `file` is its source where the line names none.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
        let start = line.find("event=")?;
        let (before, text) = line.split_at(start);
        let source = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            source: source.to_owned(),
            fields: fields(text),
            text: text.trim_end().to_owned(),
        })
    }

    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub(super) fn event(&self) -> &str {
        self.field("event")
    }

    pub(super) fn time(&self) -> &str {
        self.field("time")
    }

    fn is_belief_of(&self, nodes: &BTreeSet<&str>, engines: &BTreeSet<&str>) -> bool {
        if !nodes.contains(self.source.as_str()) {
            return false;
        }
        let of_engine = ENGINE_EVENTS.contains(&self.event()) && engines.contains(self.field("engine"));
        of_engine || NODE_EVENTS.contains(&self.event())
    }
}

fn fields(text: &str) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, following) = value_of(after);
        found.insert(key.trim().to_owned(), value);
        rest = following;
    }
    found
}

/// A value, quoted or plain, and what follows it.
fn value_of(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut escaped = false;
    for (position, letter) in quoted.char_indices() {
        match letter {
            '\\' if !escaped => escaped = true,
            '"' if !escaped => return (quoted[..position].to_owned(), &quoted[position + 1..]),
            _ => escaped = false,
        }
    }
    (quoted.to_owned(), "")
}

/// The lines that explain a request, in the order of their times; empty where none names it.
pub fn explain(request: &str, lines: &[LogLine]) -> Vec<String> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.field("request") == request)
        .collect();
    let Some(last) = own.iter().map(|line| line.time()).max() else {
        return Vec::new();
    };
    let own = with_placements(own, lines);
    let others = of_same_content(&own, lines);
    let nodes = own.iter().map(|line| line.source.as_str()).collect();
    let engines = own
        .iter()
        .map(|line| line.field("engine"))
        .filter(|name| !name.is_empty())
        .collect();
    let first = own.iter().map(|line| line.time()).min().unwrap_or_default();
    let mut beliefs: BTreeMap<(&str, &str, &str), &LogLine> = BTreeMap::new();
    let mut during = Vec::new();
    for line in lines.iter().filter(|line| line.is_belief_of(&nodes, &engines)) {
        if line.time() > first && line.time() <= last {
            during.push(line);
        } else if line.time() <= first {
            let key = (
                line.source.as_str(),
                belief_kind(line.event()),
                line.field("engine"),
            );
            let known = beliefs.entry(key).or_insert(line);
            if known.time() <= line.time() {
                *known = line;
            }
        }
    }
    let mut course: Vec<&LogLine> = own;
    course.extend(during);
    course.extend(others);
    course.sort_by(|left, right| left.time().cmp(right.time()));
    let mut before: Vec<&LogLine> = beliefs.into_values().collect();
    before.sort_by(|left, right| left.time().cmp(right.time()));
    let known = before
        .iter()
        .map(|line| format!("known   {} {}", line.source, line.text));
    let happened = course
        .iter()
        .map(|line| format!("course  {} {}", line.source, line.text));
    let closing = explain_regions::of(&course)
        .into_iter()
        .chain(explain_pauses::of(&course));
    known.chain(happened).chain(closing).collect()
}

/// The lines of a request with the decisions of the nodes that chose its engines.
fn with_placements<'a>(own: Vec<&'a LogLine>, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let numbers: BTreeSet<&str> = own
        .iter()
        .map(|line| line.field("number"))
        .filter(|number| !number.is_empty())
        .collect();
    let given = lines
        .iter()
        .filter(|line| PLACEMENT_EVENTS.contains(&line.event()) && numbers.contains(line.field("number")));
    own.into_iter().chain(given).collect()
}

/// What engines did under other attempts of the same content, and under other requests with the part because of which this one was
/// withheld, at any node.
fn of_same_content<'a>(own: &[&LogLine], lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let values = |names: &[&str]| -> BTreeSet<String> {
        // A crash is charged to each part of the prompt, of which most are not its cause.
        let described = own.iter().filter(|line| line.event() != "crash_charged");
        let values = described.flat_map(|line| names.iter().map(|name| line.field(name)));
        values
            .filter(|value| !value.is_empty())
            .map(str::to_owned)
            .collect()
    };
    let (fingerprints, names) = (values(&["fingerprint", "suspect"]), values(&["request"]));
    let others = lines.iter().filter(|line| {
        FINGERPRINT_EVENTS.contains(&line.event())
            && fingerprints.contains(line.field("fingerprint"))
            && !names.contains(line.field("request"))
    });
    others.collect()
}

/// Events that replace each other as the latest word on one thing.
fn belief_kind(event: &str) -> &str {
    match event {
        "engine_listed" | "engine_gone" => "engine",
        "store_lost" | "store_regained" => "store",
        "lease_gained" | "lease_lost" => "lease",
        "started" | "stopping" => "process",
        other => other,
    }
}

/// Runs `shelfjunction explain REQUEST FILE...`.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::EXPLAIN);
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(()),
        Parsed::Values(values) => values,
    };
    let Some((request, names)) = values.arguments().split_first() else {
        return Err(values.usage("the request is missing"));
    };
    if names.is_empty() {
        return Err(values.usage("a log file is missing"));
    }
    let mut lines = Vec::new();
    for name in names {
        let text = files::read_text("FILE", &PathBuf::from(name))?;
        lines.extend(text.lines().filter_map(|line| LogLine::parse(line, name)));
    }
    let explained = explain(request, &lines);
    if explained.is_empty() {
        return Err(CommandError::Failed(format!(
            "no line of these logs names request {request}"
        )));
    }
    explained.iter().for_each(|line| println!("{line}"));
    Ok(())
}
