//! The datagrams between nodes about tenants' rates.
//!
//! Builds without them take datagrams of other first bytes only, and drop these as unreadable. Behind the first byte stands
//! the bincode of one [`TenantRateDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::TenantRate;

/// First byte of such a datagram.
const FORMAT: u8 = 67;

/// Asks the owner of a tenant's bucket whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRequest {
    /// Random number that identifies the question.
    pub number: u64,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Its rate as the sender has it.
    pub rate: TenantRate,
    /// Version of the configuration that says so.
    pub config_version: u64,
    /// Units of the request.
    pub cost: u32,
}

/// Outcome of a [`ChargeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChargeOutcome {
    /// The request may run.
    Granted,
    /// The tenant is over its rate.
    Denied {
        /// Milliseconds after which the caller may come back.
        retry_after_millis: u32,
    },
    /// Another node owns the bucket.
    NotOwner {
        /// The owner, as far as the sender knows.
        owner: SubjectHandle,
    },
    /// The reserve for owners that do not answer is used up.
    ReserveUsedUp,
}

/// Response to the question with the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeResponse {
    /// Number of the question.
    pub number: u64,
    /// Whether the request may run.
    pub outcome: ChargeOutcome,
}

/// Gives back what was charged for a request that reached no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRefund {
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Its rate as the sender has it.
    pub rate: TenantRate,
    /// Units of the request.
    pub cost: u32,
}

/// One datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TenantRateDatagram {
    /// Asks an owner.
    Request(ChargeRequest),
    /// An owner's answer.
    Response(ChargeResponse),
    /// Gives a charge back.
    Refund(ChargeRefund),
    /// Asks a node that would take the bucket over, since its owner did not answer; answered like a request.
    ReserveRequest(ChargeRequest),
}

impl TenantRateDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
