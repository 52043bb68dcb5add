//! What a node has borrowed from the owners of tenants' buckets ([`super::rate_lending`]).
//!
//! A node asks for a loan along with a question to the owner if it expects several requests of the tenant while the loan lasts:
//!
//! ```text
//! wanted = units charged per second, averaged over DEMAND_PERIOD, * LOAN_LIFETIME
//! asked if wanted >= MIN_REQUESTS * average units of a request
//! ```

use super::rate::TenantRate;
use super::rate_lending::{LOAN_LIFETIME, LoanWish};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Period over which a node's demand of a tenant is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);

/// Requests that a loan must hold to be worth its messages.
const MIN_REQUESTS: f64 = 2.0;

/// Time after which a wish without an answer is repeated; owners of earlier builds never answer.
const WISH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an owner that declined is asked again.
const DECLINED_BACKOFF: Duration = Duration::from_millis(500);

/// Time without requests after which a tenant is forgotten.
const TENANT_RETENTION: Duration = Duration::from_secs(60);

/// Rest of a loan to be given back to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRest {
    /// The owner.
    pub owner: SubjectHandle,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Its rate when the loan was asked for.
    pub rate: TenantRate,
    /// Number of the loan.
    pub number: u64,
    /// Units that were not used.
    pub unused: u32,
}

/// A wish that was sent, or the loan that answered it.
#[derive(Clone, Copy, Debug)]
struct Loan {
    owner: SubjectHandle,
    number: u64,
    rate: TenantRate,
    until: MonotonicTime,
    /// Units left; absent until the owner has answered.
    left: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct Borrowing {
    loan: Option<Loan>,
    wish_at: MonotonicTime,
    /// Units asked for, weighted by their age.
    demand: f64,
    /// Requests, weighted by their age.
    requests: f64,
    demand_at: MonotonicTime,
}

impl Borrowing {
    fn note_demand(&mut self, cost: u32, now: MonotonicTime) {
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
        self.demand = self.demand * (-age).exp() + f64::from(cost);
        self.requests = self.requests * (-age).exp() + 1.0;
        self.demand_at = self.demand_at.max(now);
    }

    /// Units that are expected while a loan lasts.
    fn wanted(&self) -> u32 {
        (self.demand / DEMAND_PERIOD.as_secs_f64() * LOAN_LIFETIME.as_secs_f64()) as u32
    }

    /// Ends the loan; what is left of it, if it can still be given back.
    fn end(&mut self, tenant: SubjectHandle, now: MonotonicTime) -> Option<LoanRest> {
        let loan = self.loan.take()?;
        let unused = loan.left.filter(|_| now < loan.until)?;
        Some(LoanRest {
            owner: loan.owner,
            tenant,
            rate: loan.rate,
            number: loan.number,
            unused,
        })
    }
}

/// A question to an owner along with which a loan may be asked for.
#[derive(Clone, Copy, Debug)]
pub struct LoanQuestion {
    /// Random number of the loan.
    pub number: u64,
    /// This node.
    pub own: SubjectHandle,
    /// The owner.
    pub owner: SubjectHandle,
    /// The tenant.
    pub tenant: SubjectHandle,
    /// Its rate.
    pub rate: TenantRate,
}

/// Result of a charge to a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoanCharge {
    /// The request may run; the number of the loan, and the loan if it is used up.
    Granted {
        /// Number of the loan.
        number: u64,
        /// What is to be given back.
        ended: Option<LoanRest>,
    },
    /// The owner is asked.
    Ask {
        /// What is to be given back.
        ended: Option<LoanRest>,
    },
}

/// The loans that one node has.
#[derive(Clone, Debug, Default)]
pub struct TenantRateLoans {
    tenants: BTreeMap<SubjectHandle, Borrowing>,
}

impl TenantRateLoans {
    /// Charges a request to the loan of its tenant, if there is one that holds it.
    pub fn charge(
        &mut self,
        tenant: SubjectHandle,
        rate: &TenantRate,
        cost: u32,
        now: MonotonicTime,
    ) -> LoanCharge {
        self.tenants
            .retain(|_, borrowing| now.since(borrowing.demand_at) < TENANT_RETENTION);
        let borrowing = self.tenants.entry(tenant).or_default();
        borrowing.note_demand(cost, now);
        let Some(loan) = borrowing.loan.as_mut().filter(|loan| loan.left.is_some()) else {
            return LoanCharge::Ask { ended: None };
        };
        let left = loan.left.unwrap_or(0);
        if now >= loan.until || loan.rate != *rate || left < cost {
            let ended = borrowing.end(tenant, now);
            return LoanCharge::Ask { ended };
        }
        let number = loan.number;
        loan.left = Some(left - cost);
        let ended = (left == cost).then(|| borrowing.end(tenant, now)).flatten();
        LoanCharge::Granted { number, ended }
    }

    /// The wish to be sent to the owner along with a question, if a loan is worth its messages.
    pub fn wish(&mut self, question: &LoanQuestion, now: MonotonicTime) -> Option<LoanWish> {
        let borrowing = self.tenants.get_mut(&question.tenant)?;
        let min_units = (borrowing.demand / borrowing.requests * MIN_REQUESTS) as u32;
        let units = borrowing.wanted();
        if units < min_units || now < borrowing.wish_at {
            return None;
        }
        borrowing.wish_at = now + WISH_INTERVAL;
        borrowing.loan = Some(Loan {
            owner: question.owner,
            number: question.number,
            rate: question.rate,
            until: now + LOAN_LIFETIME,
            left: None,
        });
        Some(LoanWish {
            number: question.number,
            tenant: question.tenant,
            borrower: question.own,
            units,
            min_units,
        })
    }

    /// Takes an owner's answer to the wish with this number: units lent, none if it declined. A second answer changes nothing.
    pub fn on_answer(&mut self, number: u64, units: u32, now: MonotonicTime) {
        for borrowing in self.tenants.values_mut() {
            let Some(loan) = &mut borrowing.loan else { continue };
            if loan.number != number || loan.left.is_some() {
                continue;
            }
            if units > 0 {
                loan.left = Some(units);
                // The next one is asked for when this one is used up.
                borrowing.wish_at = now;
            } else {
                borrowing.loan = None;
                borrowing.wish_at = now + DECLINED_BACKOFF;
            }
        }
    }

    /// Ends the loan with this number, which its owner recalls.
    pub fn on_recall(&mut self, number: u64, now: MonotonicTime) -> Option<LoanRest> {
        let mut tenants = self.tenants.iter_mut();
        let (tenant, borrowing) =
            tenants.find(|(_, borrowing)| borrowing.loan.is_some_and(|loan| loan.number == number))?;
        borrowing.wish_at = now + DECLINED_BACKOFF;
        borrowing.end(*tenant, now)
    }

    /// Ends the loans that are close to their end, so that the owner need not take the rest for used.
    pub fn end_idle(&mut self, margin: Duration, now: MonotonicTime) -> Vec<LoanRest> {
        let borrowings = self.tenants.iter_mut();
        let closing = borrowings.filter(|(_, borrowing)| {
            borrowing
                .loan
                .is_some_and(|loan| loan.left.is_some() && loan.until <= now + margin)
        });
        closing
            .filter_map(|(tenant, borrowing)| borrowing.end(*tenant, now))
            .collect()
    }

    /// Gives a request back that was charged to a loan and reached no engine.
    pub fn refund(&mut self, tenant: SubjectHandle, number: u64, cost: u32) {
        let borrowing = self.tenants.get_mut(&tenant);
        let loan = borrowing.and_then(|borrowing| borrowing.loan.as_mut());
        if let Some(left) = loan
            .filter(|loan| loan.number == number)
            .and_then(|loan| loan.left.as_mut())
        {
            *left = left.saturating_add(cost);
        }
    }
}
