//! The datagrams between nodes about loans from the buckets of tenants' rates.
//!
//! Builds without them drop these as unreadable, so that they neither lend nor borrow. Behind the first byte stands the bincode of
//! one [`TenantLoanDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::TenantRate;

/// First byte of such a datagram.
const FORMAT: u8 = 70;

/// Asks the owner of a tenant's bucket for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Random number of the loan.
    pub number: u64,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// The sender.
    pub borrower: SubjectHandle,
    /// The tenant's rate as the sender has it.
    pub rate: TenantRate,
    /// Version of the configuration that says so.
    pub config_version: u64,
    /// Units that the sender expects to charge.
    pub units: u32,
    /// Units below which a loan is of no use.
    pub min_units: u32,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanResponse {
    /// Number of the loan.
    pub number: u64,
    /// Units lent; 0 where the owner declines.
    pub units: u32,
}

/// Ends a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Number of the loan.
    pub number: u64,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Its rate as the sender has it.
    pub rate: TenantRate,
    /// Units that were not used.
    pub unused: u32,
}

/// Asks a borrower to end a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRecall {
    /// Number of the loan.
    pub number: u64,
}

/// One datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TenantLoanDatagram {
    /// Asks an owner for a loan.
    Request(LoanRequest),
    /// An owner's answer.
    Response(LoanResponse),
    /// Gives back what was not used.
    Return(LoanReturn),
    /// An owner needs the loan back.
    Recall(LoanRecall),
}

impl TenantLoanDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
