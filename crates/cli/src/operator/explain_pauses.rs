//! The pauses by which a stream came late, in words: at which engine, how long, and what was believed to run beside it.

use super::explain::LogLine;

/// A pause that was longer than the route allows, at the node that passed the stream on.
const PAUSED: &str = "paused_too_long";

/// The same at the placer that had chosen the engine.
const BELIEVED: &str = "pause_believed";

/// What is told of the work beside a stream: the log's field and its words.
const BESIDE: [(&str, &str); 4] = [
    ("outputs_beside", "outputs"),
    ("prompt_tokens_beside", "prompt tokens to read"),
    ("moving_tokens_beside", "tokens of KV cache on their way"),
    ("work_factor_percent", "% of the usual time for work"),
];

/// A line for each pause among the lines of one request.
pub(super) fn of(course: &[&LogLine]) -> Vec<String> {
    let pauses = course.iter().filter(|line| line.event() == PAUSED);
    let mut believed = course.iter().filter(|line| line.event() == BELIEVED);
    pauses
        .map(|pause| {
            let beside = if known(pause, "outputs_beside").is_some() {
                Some(*pause)
            } else {
                believed
                    .find(|line| line.field("engine") == pause.field("engine"))
                    .copied()
            };
            in_words(pause, beside)
        })
        .collect()
}

fn in_words(pause: &LogLine, beside: Option<&LogLine>) -> String {
    let told =
        known(pause, "told_work_time_percent").map_or("nothing".to_owned(), |told| format!("{told} %"));
    format!(
        "late    {} by a pause of {} ms (allowed: {}) at engine {}; beside it: {}; its machine told: {told}",
        pause.source,
        pause.field("pause_millis"),
        pause.field("allowed_millis"),
        pause.field("engine"),
        beside.map_or("not known".to_owned(), work_beside),
    )
}

fn work_beside(line: &LogLine) -> String {
    let figures = BESIDE
        .iter()
        .filter_map(|(field, words)| Some(format!("{} {words}", known(line, field)?)));
    figures.collect::<Vec<_>>().join(", ")
}

/// The figure in a field, which may be logged as present or absent.
fn known(line: &LogLine, field: &str) -> Option<String> {
    let value = line.field(field);
    let figure = value
        .strip_prefix("Some(")
        .and_then(|value| value.strip_suffix(')'))
        .unwrap_or(value);
    (!figure.is_empty() && figure != "None").then(|| figure.to_owned())
}
