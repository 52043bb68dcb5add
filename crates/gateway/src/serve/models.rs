//! `GET /v1/models`: what the caller may use.

use super::access::Caller;
use super::refusal::JSON;
use shelfjunction_core::bundle::content::{ModelGrant, ModelKind, ModelRule};
use shelfjunction_http::Answer;
use shelfjunction_protocol::caller::{ModelEntry, ModelsAnswer};

/// The answer for a caller.
pub(super) fn answer(caller: &Caller) -> Answer {
    let mut data = Vec::new();
    for grant in &caller.tenant.models {
        if let Some(rule) = caller.served.bundle.model(&grant.model) {
            data.push(entry(rule.model.as_str(), rule, grant));
            for adapter in &rule.adapters {
                let name = format!("{}:{}", rule.model, adapter.adapter);
                data.push(entry(&name, rule, grant));
            }
        }
    }
    let answer = ModelsAnswer {
        object: "list".to_owned(),
        data,
    };
    Answer::new(200, JSON, serde_json::to_vec(&answer).unwrap_or_default())
}

fn entry(name: &str, rule: &ModelRule, grant: &ModelGrant) -> ModelEntry {
    ModelEntry {
        id: name.to_owned(),
        object: "model".to_owned(),
        key_required: grant.key_required || rule.kind == ModelKind::Application,
    }
}
