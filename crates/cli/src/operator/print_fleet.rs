//! Tables about gateways, nodes, engines, use and requests.

use super::print::{NONE, or_none};
use super::table;
use serde::Serialize;
use shelfjunction_core::engine::{LoadReport, LoadedWeights, OrderProgress};
use shelfjunction_protocol::operator::{
    EngineView, NodeView, RequestView, StatusReply, UsageReply, ZoneView,
};

/// A gateway's standing and the nodes it knows.
pub fn status(reply: &StatusReply) -> String {
    let mut text = format!(
        "node        {}\nzone        {}\ngeneration  {}\nlabel       {}\nbundle      {}\nconfirmed   {}\nisolated    {}\n\n",
        reply.node,
        reply.zone,
        or_none(reply.generation),
        or_none(reply.label.as_ref()),
        or_none(reply.digest),
        reply
            .confirmed_millis_ago
            .map_or("never".to_owned(), |millis| format!("{millis} ms ago")),
        if reply.isolated { "yes" } else { "no" },
    );
    let zones: Vec<Vec<String>> = reply.zones.iter().map(zone_line).collect();
    text.push_str(&table::render(
        &[
            "ZONE",
            "REGION",
            "NODES ALIVE",
            "ENGINES ALIVE",
            "ENGINES SERVING",
        ],
        &zones,
    ));
    text.push('\n');
    let rows: Vec<Vec<String>> = reply.nodes.iter().map(node_line).collect();
    text.push_str(&table::render(
        &["NODE", "ZONE", "STATE", "GENERATION", "AGE MS"],
        &rows,
    ));
    text
}

fn zone_line(view: &ZoneView) -> Vec<String> {
    vec![
        view.zone.to_string(),
        view.region.to_string(),
        view.nodes_alive.to_string(),
        view.engines_alive.to_string(),
        view.engines_serving.to_string(),
    ]
}

fn node_line(view: &NodeView) -> Vec<String> {
    vec![
        view.node.to_string(),
        view.record.zone.to_string(),
        name(&view.record.liveness),
        view.record.generation.to_string(),
        view.age_millis.to_string(),
    ]
}

/// Engines.
pub fn engines(engines: &[EngineView]) -> String {
    let rows: Vec<Vec<String>> = engines.iter().map(engine_line).collect();
    table::render(
        &[
            "ENGINE",
            "ZONE",
            "STATE",
            "ROLE",
            "SERVICE",
            "FENCE",
            "ORDER",
            "WEIGHTS",
            "IN FLIGHT / PREFILL / DECODE",
            "AGE MS",
        ],
        &rows,
    )
}

fn engine_line(view: &EngineView) -> Vec<String> {
    let record = &view.record;
    let mut line = vec![
        view.engine.to_string(),
        record.zone.to_string(),
        name(&record.liveness),
    ];
    match &record.status {
        None => line.extend([NONE; 6].map(str::to_owned)),
        Some(status) => {
            let weights: Vec<String> = status.weights.iter().map(weights).collect();
            let state = match (status.changing, status.draining) {
                (true, _) => "changing",
                (false, true) => "draining",
                (false, false) => "serving",
            };
            line.extend([
                name(&status.role),
                state.to_owned(),
                status.fence.to_string(),
                last_order(status.last_order.as_ref()),
                weights.join(","),
                load(&status.load),
            ]);
        }
    }
    line.push(view.age_millis.to_string());
    line
}

/// Requests in flight, and the tokens that wait for prefill and for decode.
fn load(report: &LoadReport) -> String {
    format!(
        "{} / {} / {}",
        report.requests_in_flight, report.queued_prefill_tokens, report.queued_decode_tokens
    )
}

/// Position of the last order under its fencing token, and whether it is carried out.
fn last_order(progress: Option<&OrderProgress>) -> String {
    progress.map_or(NONE.to_owned(), |progress| {
        let state = if progress.done { "done" } else { "under way" };
        format!("{} {state}", progress.sequence.0)
    })
}

fn weights(loaded: &LoadedWeights) -> String {
    let adapters: String = loaded
        .adapters
        .iter()
        .map(|adapter| format!("+{adapter}"))
        .collect();
    format!("{}@{}{adapters}", loaded.model, loaded.version)
}

/// Use by tenant.
pub fn usage(reply: &UsageReply) -> String {
    let rows: Vec<Vec<String>> = reply
        .tenants
        .iter()
        .map(|usage| {
            vec![
                usage.tenant.to_string(),
                usage.requests.to_string(),
                usage.not_run.to_string(),
                usage.prompt_tokens.to_string(),
                usage.output_tokens.to_string(),
                usage.in_flight.to_string(),
            ]
        })
        .collect();
    table::render(
        &[
            "TENANT",
            "REQUESTS",
            "NOT RUN",
            "PROMPT TOKENS",
            "OUTPUT TOKENS",
            "IN FLIGHT",
        ],
        &rows,
    )
}

/// One request.
pub fn request(view: &RequestView) -> String {
    format!(
        "request  {}\ntenant   {}\nmodel    {}\nstate    {}\nzone     {}\nengine   {}\ntokens   {}\nage      {} ms\n",
        view.request,
        view.tenant,
        view.model,
        view.state,
        or_none(view.zone.as_ref()),
        or_none(view.engine.as_ref()),
        view.output_tokens,
        view.age_millis
    )
}

/// The name that a value has in JSON.
fn name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(text)) => text,
        _ => NONE.to_owned(),
    }
}
