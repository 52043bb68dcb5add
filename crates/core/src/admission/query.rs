//! What admission is asked and what it answers.

use crate::identity::{ModelId, TenantId};
use crate::outcome::Refusal;
use crate::routing::RouteEstimate;
use crate::service_class::ServiceClass;
use std::time::Duration;

/// Limits of one tenant, from the bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLimits {
    /// Most requests a second.
    pub requests_per_second: u32,
    /// Most tokens (prompt and output) in flight.
    pub tokens_in_flight: u64,
    /// Share among tenants when capacity is short; zero counts as one.
    pub share: u32,
}

/// One request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionQuery {
    /// The tenant.
    pub tenant: TenantId,
    /// The tenant's limits.
    pub limits: TenantLimits,
    /// Class of the request.
    pub class: ServiceClass,
    /// Model or application it calls.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that similar requests needed.
    pub expected_output_tokens: u32,
    /// Time left until the first token should be there, where the class has a limit on it.
    pub first_token: Option<Duration>,
    /// Time left until the answer must be whole.
    pub deadline: Duration,
    /// Delays it would meet at the engines if it were sent now; absent where nothing is known.
    pub estimate: Option<RouteEstimate>,
}

/// Capacity that is left to this gateway's requests for one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelCapacity {
    /// Prefill speed of all engines that may serve it, in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Decode speed of all engines that may serve it, in tokens per second.
    pub decode_tokens_per_second: f64,
    /// Mean time that prompts wait at engines now, in seconds.
    pub backlog_seconds: f64,
    /// Sequences that can decode at once, over all engines that decode.
    pub sequence_places: f64,
    /// Requests that run or wait at those engines now.
    pub requests_at_engines: f64,
    /// Gateways that share the engines.
    pub gateways: u32,
}

/// Identifier of a ticket, unique within its controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

/// Right of one request to be in the system; handed back when it ends.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionTicket {
    /// Identifier.
    pub number: TicketNumber,
}

/// Where an admitted request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketState {
    /// It may be sent to an engine.
    Started,
    /// It waits for its turn.
    Queued,
    /// Its deadline can't be met any more; release the ticket and tell the caller at once.
    Refused(Refusal),
}

/// Change of a ticket that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionUpdate {
    /// The ticket.
    pub ticket: TicketNumber,
    /// Its new state.
    pub state: TicketState,
}

/// What an admitted request came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmittedWork {
    /// Output tokens delivered.
    pub output_tokens: u32,
}
