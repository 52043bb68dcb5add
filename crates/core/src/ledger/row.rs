//! Content of one claim row.

use crate::identity::{AttemptId, EngineId, RequestId, TenantId};
use crate::request::specification::RequestKey;
use crate::table::{Row, RowKey, RowVersion};
use serde::{Deserialize, Serialize};

/// First part of every claim row's name.
pub const CLAIM_PREFIX: &str = "claim/";

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Owner of the key.
    pub tenant: TenantId,
    /// SHA-256 of what decides what runs, in hexadecimal.
    pub body_digest: String,
    /// The request, as engines know it.
    pub request: RequestId,
    /// The one dispatch that may be sent under this version of the row.
    pub attempt: AttemptId,
    /// The engine it is sent to.
    pub engine: EngineId,
    /// The start of that engine that was known when the claim was made.
    pub incarnation: u64,
    /// Seconds since the Unix epoch when the request was admitted; bounds retention only.
    pub claimed_unix_seconds: u64,
    /// How the request ended, once that is known.
    pub settlement: Option<Settlement>,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "settled", rename_all = "snake_case", deny_unknown_fields)]
pub enum Settlement {
    /// The whole answer came.
    Completed {
        /// Output tokens in all.
        tokens: u32,
    },
    /// The engine began and ended without a whole answer.
    Failed,
}

/// A claim that was given back: nothing ran under it and nothing will. The key may be claimed anew, with any body, by
/// a write that checks this row's version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleasedRow {
    /// The request that gave it back.
    pub released: RequestId,
    /// Seconds since the Unix epoch when that request was admitted; bounds retention only.
    pub claimed_unix_seconds: u64,
}

/// What a row of the ledger holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimContent {
    /// A claim.
    Held(Box<ClaimRow>),
    /// A claim that was given back.
    Released(ReleasedRow),
    /// Something that can't be understood.
    Unreadable,
}

/// A row of the ledger as found in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// Version of the row.
    pub version: RowVersion,
    /// What it holds.
    pub content: ClaimContent,
}

impl StoredClaim {
    /// Reads a row of the table.
    pub fn read(row: &Row) -> Self {
        Self {
            version: row.version,
            content: ClaimContent::read(&row.value),
        }
    }

    /// Whether the key may be claimed over this row.
    pub fn is_released(&self) -> bool {
        matches!(self.content, ClaimContent::Released(_))
    }
}

impl ClaimContent {
    /// Reads the text of a row.
    pub fn read(text: &str) -> Self {
        if let Ok(claim) = serde_json::from_str(text) {
            return Self::Held(Box::new(claim));
        }
        serde_json::from_str(text).map_or(Self::Unreadable, Self::Released)
    }

    /// When the request of the row was admitted, in seconds since the Unix epoch; absent when that can't be read.
    pub fn claimed_unix_seconds(&self) -> Option<u64> {
        match self {
            Self::Held(claim) => Some(claim.claimed_unix_seconds),
            Self::Released(released) => Some(released.claimed_unix_seconds),
            Self::Unreadable => None,
        }
    }
}

impl ReleasedRow {
    /// JSON text of the row.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl ClaimRow {
    /// JSON text of the row.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Name of the row for one tenant's key.
pub fn claim_key(tenant: &TenantId, key: &RequestKey) -> RowKey {
    RowKey(format!("{CLAIM_PREFIX}{tenant}/{}", key.key_digest))
}
