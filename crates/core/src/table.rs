//! Rows and transactions of the platform's table service.

use serde::{Deserialize, Serialize};

/// Name of a row; parts are joined by `/`, as in `lease/sthlm-a`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(pub String);

/// Bits of a store position that hold the version.
const VERSION_BITS: u32 = 40;

/// Position in the history of the platform's store. A store that is restored from an older copy gives versions out again, in an era
/// of its own.
///
/// Positions are passed on and compared as one number that never runs back, with the era in its upper bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of the era, which each restore raises by one; zero where the store names none. Positions of era zero equal versions, as
    /// builds without eras have them.
    pub era: u64,
    /// Version within it; zero where nothing was written.
    pub version: u64,
}

impl StorePosition {
    /// The position as one number.
    pub fn to_number(self) -> u64 {
        (self.era << VERSION_BITS) | self.version
    }

    /// The position that a number stands for.
    pub fn of_number(number: u64) -> Self {
        Self {
            era: number >> VERSION_BITS,
            version: number & ((1 << VERSION_BITS) - 1),
        }
    }

    /// Era of the position that a number stands for.
    pub fn era_of(number: u64) -> u64 {
        Self::of_number(number).era
    }
}

/// Version of a row, raised by every write to it; never reused. Where the store can be restored it is the number of a
/// [`StorePosition`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// One row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's name.
    pub key: RowKey,
    /// Version of this value.
    pub version: RowVersion,
    /// JSON text.
    pub value: String,
}

/// Condition that must hold for a transaction to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row that is looked at.
    pub key: RowKey,
    /// The version it must have; absent: the row must not exist.
    pub expected: Option<RowVersion>,
}

/// Change to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row that is written.
    pub key: RowKey,
    /// The new JSON text; absent: the row is deleted.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub checks: Vec<Check>,
    /// All are applied.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactionOutcome {
    /// All writes took effect; the written rows now have this version.
    Committed {
        /// Version of every row written.
        version: RowVersion,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// The row whose check failed.
        key: RowKey,
        /// What the row holds now.
        found: Option<Row>,
    },
}

/// Why a call to the platform gave no answer that can be relied on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformError {
    /// The service did nothing: it could not be reached or said so itself.
    Unavailable,
    /// The service did nothing: the caller is over its rate.
    Throttled {
        /// When to come back, in milliseconds.
        retry_after_millis: u64,
    },
    /// The call was sent and the answer lost; the action may have taken effect.
    AnswerLost,
    /// The answer could not be understood; the action may have taken effect.
    Malformed(String),
}
