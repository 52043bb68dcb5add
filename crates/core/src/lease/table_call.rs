//! Calls to the table service as effects, and their answers as events.

use crate::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};

/// Name of one call to the table service; its answer carries the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One call to the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCall {
    /// Read one row; answered by [`TableAnswer::Row`].
    Read(RowKey),
    /// Read every row whose key starts with the prefix; answered by [`TableAnswer::Rows`].
    Scan(String),
    /// Apply checks and writes; answered by [`TableAnswer::Transacted`].
    Transact(Transaction),
}

/// Answer to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAnswer {
    /// The row; absent when it does not exist.
    Row(Option<Row>),
    /// The rows, sorted by key.
    Rows(Vec<Row>),
    /// What became of the transaction.
    Transacted(TransactionOutcome),
    /// No answer that can be relied on.
    Failed(PlatformError),
}

impl From<Result<Option<Row>, PlatformError>> for TableAnswer {
    fn from(result: Result<Option<Row>, PlatformError>) -> Self {
        result.map_or_else(Self::Failed, Self::Row)
    }
}

impl From<Result<Vec<Row>, PlatformError>> for TableAnswer {
    fn from(result: Result<Vec<Row>, PlatformError>) -> Self {
        result.map_or_else(Self::Failed, Self::Rows)
    }
}

impl From<Result<TransactionOutcome, PlatformError>> for TableAnswer {
    fn from(result: Result<TransactionOutcome, PlatformError>) -> Self {
        result.map_or_else(Self::Failed, Self::Transacted)
    }
}
