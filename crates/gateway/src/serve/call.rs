//! Reads a completion call: body and key in, one checked call out.

use super::access::Caller;
use super::refusal::{CallerError, refusal_sentence};
use crate::config::RequestLimits;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use shelfjunction_core::bundle::content::{ModelGrant, ModelKind, ModelRule};
use shelfjunction_core::identity::{AdapterId, ModelId};
use shelfjunction_core::outcome::RefusalReason;
use shelfjunction_core::request::specification::RequestKey;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_http::HttpRequest;
use shelfjunction_protocol::caller::{ChatBody, ChatRole, CompletionBody, IDEMPOTENCY_KEY};
use std::time::Duration;

/// Longest idempotency key, in bytes.
const MAXIMUM_KEY_BYTES: usize = 255;

/// Which of the two calls it is; decides the shape of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallShape {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// One checked call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) shape: CallShape,
    /// Model as the caller named it.
    pub(super) name: String,
    pub(super) model: ModelId,
    pub(super) adapter: Option<AdapterId>,
    pub(super) kind: ModelKind,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) class: ServiceClass,
    pub(super) deadline: Duration,
    pub(super) key: Option<RequestKey>,
}

/// Reads and checks a call.
pub(super) fn read(
    shape: CallShape,
    request: &HttpRequest,
    caller: &Caller,
    limits: &RequestLimits,
) -> Result<Call, CallerError> {
    let body = match shape {
        CallShape::Completion => parse::<CompletionBody>(&request.body)?,
        CallShape::Chat => flatten(parse::<ChatBody>(&request.body)?)?,
    };
    let (rule, grant, adapter) = find_model(&body.model, caller)?;
    let max_tokens = check_max_tokens(body.max_tokens, limits)?;
    let class = body.priority.unwrap_or(grant.class);
    let deadline = check_deadline(body.deadline_millis, class, caller, limits)?;
    let key = read_key(request, shape, &body, max_tokens)?;
    let key_required = grant.key_required || rule.kind == ModelKind::Application;
    if key_required && key.is_none() {
        let reason = RefusalReason::KeyRequired;
        return Err(CallerError::not_run(reason, refusal_sentence(reason)));
    }
    Ok(Call {
        shape,
        model: rule.model.clone(),
        adapter,
        kind: rule.kind,
        prompt: body.prompt,
        max_tokens,
        stream: body.stream,
        class,
        deadline,
        key,
        name: body.model,
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallerError> {
    serde_json::from_slice(body).map_err(|error| invalid(format!("The body is not understood: {error}.")))
}

fn invalid(message: impl Into<String>) -> CallerError {
    CallerError::not_run(RefusalReason::InvalidRequest, message)
}

/// One prompt from a conversation: a line per message, then the turn of the model.
fn flatten(body: ChatBody) -> Result<CompletionBody, CallerError> {
    if body.messages.is_empty() {
        return Err(invalid("The conversation has no messages."));
    }
    let mut prompt = String::new();
    for message in &body.messages {
        let role = match message.role {
            ChatRole::System => "system",
            ChatRole::User => "user",
            ChatRole::Assistant => "assistant",
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    Ok(CompletionBody {
        model: body.model,
        prompt,
        max_tokens: body.max_tokens,
        stream: body.stream,
        priority: body.priority,
        deadline_millis: body.deadline_millis,
    })
}

/// A model that does not exist and one that the tenant may not use look the same.
fn find_model<'a>(
    name: &str,
    caller: &'a Caller,
) -> Result<(&'a ModelRule, &'a ModelGrant, Option<AdapterId>), CallerError> {
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(AdapterId::new(adapter))),
        None => (name, None),
    };
    let model = ModelId::new(model);
    let rule = caller.served.bundle.model(&model);
    let grant = caller.tenant.models.iter().find(|grant| grant.model == model);
    let adapter_is_listed = |rule: &&ModelRule| {
        adapter
            .as_ref()
            .is_none_or(|adapter| rule.adapters.iter().any(|listed| listed.adapter == *adapter))
    };
    match (rule.filter(adapter_is_listed), grant) {
        (Some(rule), Some(grant)) => Ok((rule, grant, adapter)),
        _ => {
            let reason = RefusalReason::ModelUnavailable;
            Err(CallerError::not_run(reason, refusal_sentence(reason)))
        }
    }
}

fn check_max_tokens(asked: Option<u32>, limits: &RequestLimits) -> Result<u32, CallerError> {
    let most = limits.maximum_max_tokens;
    match asked {
        None => Ok(limits.default_max_tokens),
        Some(tokens) if (1..=most).contains(&tokens) => Ok(tokens),
        Some(tokens) => Err(invalid(format!("max_tokens = {tokens}: allowed is 1 to {most}."))),
    }
}

fn check_deadline(
    asked: Option<u64>,
    class: ServiceClass,
    caller: &Caller,
    limits: &RequestLimits,
) -> Result<Duration, CallerError> {
    let most = limits.maximum_deadline_millis;
    let of_class = caller
        .served
        .bundle
        .fleet
        .classes
        .iter()
        .find(|rule| rule.class == class)
        .map(|rule| rule.target.deadline_millis);
    let millis = asked.or(of_class).unwrap_or(limits.default_deadline_millis);
    if asked.is_some() && !(1..=most).contains(&millis) {
        return Err(invalid(format!(
            "deadline_millis = {millis}: allowed is 1 to {most}."
        )));
    }
    Ok(Duration::from_millis(millis.min(most)))
}

fn read_key(
    request: &HttpRequest,
    shape: CallShape,
    body: &CompletionBody,
    max_tokens: u32,
) -> Result<Option<RequestKey>, CallerError> {
    match request.header_count(IDEMPOTENCY_KEY) {
        0 => return Ok(None),
        1 => {}
        _ => return Err(invalid("Idempotency-Key came more than once.")),
    }
    let key = request.header(IDEMPOTENCY_KEY).unwrap_or_default();
    let fits =
        (1..=MAXIMUM_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic());
    if !fits {
        return Err(invalid(
            "Idempotency-Key must be 1 to 255 visible ASCII characters.",
        ));
    }
    Ok(Some(RequestKey {
        key_digest: hex::encode(Sha256::digest(key.as_bytes())),
        body_digest: body_digest(shape, body, max_tokens),
    }))
}

/// Digest of what decides what runs; lengths keep one field's end from passing as the next one's beginning.
fn body_digest(shape: CallShape, body: &CompletionBody, max_tokens: u32) -> String {
    let mut hasher = Sha256::new();
    hasher.update([u8::from(shape == CallShape::Chat)]);
    for text in [&body.model, &body.prompt] {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(max_tokens.to_be_bytes());
    hex::encode(hasher.finalize())
}
