//! What is fixed about a request when it is admitted.

use crate::bundle::content::ModelKind;
use crate::engine::{EngineCall, KvTransfer, Phase};
use crate::forwarding::RepeatRule;
use crate::identity::{AdapterId, AttemptId, EngineId, ModelId, RequestId, TenantId};
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Who understands a request's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestForm {
    /// The system: a prompt goes in, tokens come back, an engine can be asked again for an answer it holds.
    #[default]
    Text,
    /// Only caller and engine: bytes go in, bytes or events come back, and an engine keeps nothing of them.
    Opaque(RepeatRule),
}

/// One admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpecification {
    /// Who understands the content.
    pub form: RequestForm,
    /// Identifier that engines know the request by.
    pub request: RequestId,
    /// The caller's organisation.
    pub tenant: TenantId,
    /// Model to run, or application to call.
    pub model: ModelId,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterId>,
    /// Kind of back end.
    pub kind: ModelKind,
    /// Class of service.
    pub class: ServiceClass,
    /// Text of the prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Salt that keeps the tenant's cached prefixes apart.
    pub cache_salt: String,
    /// Present where the request must not run twice.
    pub key: Option<RequestKey>,
    /// Instant after which the answer is of no use.
    pub deadline: MonotonicTime,
    /// Seconds since the Unix epoch at admission; only bounds how long a claim is kept.
    pub admitted_unix_seconds: u64,
}

/// Identity of a request that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// SHA-256 of the caller's key, in hexadecimal.
    pub key_digest: String,
    /// SHA-256 of everything in the body that decides what runs, in hexadecimal.
    pub body_digest: String,
}

/// One engine that a request may be handed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The start of the engine that was last seen.
    pub incarnation: u64,
}

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Both phases on one engine.
    Whole(Target),
    /// Prompt on one engine, output on another, which fetches the KV cache from the first.
    Split {
        /// Runs the prompt.
        prefill: Target,
        /// Runs the output and holds the answer.
        decode: Target,
    },
}

impl Placement {
    /// The engine that produces the output and is asked for it again later.
    pub fn answering(&self) -> &Target {
        match self {
            Placement::Whole(target) => target,
            Placement::Split { decode, .. } => decode,
        }
    }
}

/// Bounds on what one request may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CourseLimits {
    /// Most placements tried.
    pub placements: u32,
    /// Most engines that may run the request, refusals not counted.
    pub runs: u32,
    /// Most times one engine's broken stream is resumed without a new token in between.
    pub resumes: u32,
    /// Most times an engine is asked what became of a request before the answer is "unknown"; counted anew when a
    /// claim that is joined has moved, as often as placements are tried.
    pub questions: u32,
    /// Pause before the second question; doubled for each further one.
    pub question_pause: Duration,
    /// A claimed request is not sent later than this after the claim was asked for.
    pub dispatch_window: Duration,
}

impl Default for CourseLimits {
    fn default() -> Self {
        Self {
            placements: 4,
            runs: u32::MAX,
            resumes: 3,
            questions: 4,
            question_pause: Duration::from_millis(100),
            dispatch_window: Duration::from_secs(10),
        }
    }
}

impl RequestSpecification {
    /// Whether running the request twice does no harm.
    pub fn repeatable(&self) -> bool {
        match self.form {
            RequestForm::Text => self.key.is_none() && self.kind == ModelKind::Model,
            RequestForm::Opaque(rule) => rule != RepeatRule::Never,
        }
    }

    /// Whether the content is opaque to the system.
    pub fn is_opaque(&self) -> bool {
        matches!(self.form, RequestForm::Opaque(_))
    }

    /// The call that hands this request to an engine.
    pub(super) fn call(
        &self,
        attempt: AttemptId,
        phase: Phase,
        import: Option<KvTransfer>,
        offset: u32,
    ) -> EngineCall {
        EngineCall {
            request: self.request.clone(),
            attempt,
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            class: self.class,
            cache_salt: self.cache_salt.clone(),
            phase,
            import,
            offset,
        }
    }
}
