//! What the owner of a tenant's bucket lends to nodes that charge many of the tenant's requests.
//!
//! A loan is a part of the bucket from which a node charges requests without a question. It is charged to the bucket at once, and
//! all loans together stay within what a window may have beyond rate and burst, so that the bound on the tenant holds whatever
//! becomes of the borrowers, and the tenant can still have its whole burst at one node:
//!
//! ```text
//! lent if  the owner reaches all nodes
//!     and  use + loan / USE_PERIOD <= MAX_LENDING_USE * rate
//!     and  level - loan >= MIN_LEVEL_PART * burst
//! loan   = min(wanted, (MAX_LENT_PART * burst - outstanding) / 3)
//! used in a window <= rate * window + burst + outstanding at its beginning
//! ```
//!
//! An owner that does not reach all nodes lends nothing: parts of the rate that are granted elsewhere use the same allowance.
//!
//! A borrower counts the lifetime of a loan from when it asked for it, the owner from when it lent, which is later: the owner never
//! takes a loan for expired that may still be used. An expired loan counts as used.

use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time for which a borrower may use a loan. Shorter than the silence after which another node takes a bucket over, so that no loan
/// of a silent owner is left by then.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(1_500);

/// Time after which the owner takes a loan for used; longer by what clocks may differ in speed.
const OWNER_LIFETIME: Duration = Duration::from_millis(1_650);

/// Largest part of a burst that is lent to all nodes together; a window may have a tenth more than rate and burst.
const MAX_LENT_PART: f64 = 0.1;

/// Loans of the same size that could be made of what is not lent yet, so that one borrower does not take all.
const LOANS_LEFT: f64 = 3.0;

/// Part of a burst that stays in the bucket.
const MIN_LEVEL_PART: f64 = 0.5;

/// Part of its rate that a tenant may use at most for the owner to lend; above it the tenant may soon need the whole bucket.
const MAX_LENDING_USE: f64 = 0.5;

/// Period over which a tenant's use is averaged.
const USE_PERIOD: Duration = Duration::from_secs(4);

/// A node's wish for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanWish {
    /// Random number of the loan.
    pub number: u64,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// The node.
    pub borrower: SubjectHandle,
    /// Units that it expects to charge while the loan lasts.
    pub units: u32,
    /// Units below which a loan is of no use to it.
    pub min_units: u32,
}

/// A loan that the borrower may still use.
#[derive(Clone, Copy, Debug)]
struct OpenLoan {
    number: u64,
    borrower: SubjectHandle,
    units: u32,
    until: MonotonicTime,
    is_recalled: bool,
}

/// The loans of one bucket, and how much of the tenant's rate is used.
#[derive(Clone, Debug, Default)]
pub(super) struct Lending {
    loans: Vec<OpenLoan>,
    /// Units used, weighted by their age.
    used: f64,
    used_at: MonotonicTime,
}

impl Lending {
    /// Units that borrowers may still use.
    pub(super) fn outstanding(&mut self, now: MonotonicTime) -> f64 {
        self.loans.retain(|loan| now < loan.until);
        self.loans.iter().map(|loan| f64::from(loan.units)).sum()
    }

    /// Notes units that were charged, or given back if negative.
    pub(super) fn note_used(&mut self, units: f64, now: MonotonicTime) {
        let age = now.since(self.used_at).as_secs_f64() / USE_PERIOD.as_secs_f64();
        self.used = (self.used * (-age).exp() + units).max(0.0);
        self.used_at = self.used_at.max(now);
    }

    /// Units that may be lent to a node as far as earlier loans and the tenant's use go, and units that the bucket must hold for it.
    pub(super) fn offer(
        &mut self,
        wish: &LoanWish,
        per_second: f64,
        burst: f64,
        now: MonotonicTime,
    ) -> Option<(u32, f64)> {
        let outstanding = self.outstanding(now);
        if self.loans.iter().any(|loan| loan.number == wish.number) {
            return None;
        }
        self.note_used(0.0, now);
        let most = (MAX_LENT_PART * burst - outstanding) / LOANS_LEFT;
        let units = f64::from(wish.units).min(most).floor().max(0.0) as u32;
        let used = (self.used + f64::from(units)) / USE_PERIOD.as_secs_f64();
        let is_lent = units > 0 && units >= wish.min_units && used <= MAX_LENDING_USE * per_second;
        is_lent.then(|| (units, f64::from(units) + MIN_LEVEL_PART * burst))
    }

    /// Notes a loan that was charged to the bucket.
    pub(super) fn note_lent(&mut self, wish: &LoanWish, units: u32, now: MonotonicTime) {
        self.note_used(f64::from(units), now);
        self.loans.push(OpenLoan {
            number: wish.number,
            borrower: wish.borrower,
            units,
            until: now + OWNER_LIFETIME,
            is_recalled: false,
        });
    }

    /// Ends a loan of which some units were not used; these, absent if the loan is not open.
    pub(super) fn end(&mut self, number: u64, unused: u32, now: MonotonicTime) -> Option<f64> {
        self.outstanding(now);
        let position = self.loans.iter().position(|loan| loan.number == number)?;
        let loan = self.loans.swap_remove(position);
        let unused = f64::from(unused.min(loan.units));
        self.note_used(-unused, now);
        Some(unused)
    }

    /// Borrowers and numbers of the loans that have not been recalled yet.
    pub(super) fn recall(&mut self, now: MonotonicTime) -> Vec<(SubjectHandle, u64)> {
        self.outstanding(now);
        let open = self.loans.iter_mut().filter(|loan| !loan.is_recalled);
        open.map(|loan| {
            loan.is_recalled = true;
            (loan.borrower, loan.number)
        })
        .collect()
    }
}
