//! Steps of reporting, and what became of a report that was sent.

use super::WindowNumber;
use super::tally::TenantCounts;
use crate::table::Transaction;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the rows of reports.
    Load,
    /// Make the transaction that puts this holder's token into the row of progress.
    Claim {
        /// The transaction.
        transaction: Transaction,
        /// The last window that won't be reported, since it may have been reported before the store was restored; absent where
        /// all are known.
        left_out_through: Option<WindowNumber>,
    },
    /// Make the transaction that records a window.
    Record {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: TenantCounts,
        /// The transaction.
        transaction: Transaction,
        /// Whether every node has reported all its counts of the window.
        whole: bool,
    },
    /// Make the transaction that records a window again as it was recorded, since a restored store lacks it.
    Rewrite {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: TenantCounts,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send a report.
    Send {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: TenantCounts,
    },
    /// Nothing; a report that the platform never took was given up.
    GivenUp(WindowNumber),
}

/// What became of a report that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The platform has it.
    Accepted,
    /// A higher token was seen: somebody else has the duty.
    Fenced,
    /// The platform understood it and won't take it.
    Rejected,
    /// It may or may not have it.
    Unknown,
}
