//! Lends parts of tenants' buckets that this node owns, and borrows from other owners
//! ([`shelfjunction_core::tenancy::rate_lending`], [`shelfjunction_core::tenancy::rate_loans`]).

use super::owning;
use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate_lending::LoanWish;
use shelfjunction_core::tenancy::rate_loans::{LoanCharge, LoanQuestion, LoanRest};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::tenant_loan_messages::{
    LoanRecall, LoanRequest, LoanResponse, LoanReturn, TenantLoanDatagram,
};
use shelfjunction_protocol::tenant_rate_messages::{ChargeRefund, ChargeRequest};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Time before its end at which a loan is given back; longer than the time between two looks.
const RETURN_MARGIN: Duration = Duration::from_millis(400);

/// Takes a datagram about loans.
pub(crate) fn receive_loan(context: &Context, datagram: TenantLoanDatagram, from: SocketAddr) {
    let now = context.now();
    match datagram {
        TenantLoanDatagram::Request(request) => lend(context, &request, from, now),
        TenantLoanDatagram::Response(response) => {
            lock(&context.tenant_rates.loans).on_answer(response.number, response.units, now);
        }
        TenantLoanDatagram::Return(given_back) => take_back(context, &given_back, now),
        TenantLoanDatagram::Recall(recall) => {
            let rest = lock(&context.tenant_rates.loans).on_recall(recall.number, now);
            rest.iter().for_each(|rest| give_back(context, rest));
        }
    }
}

fn lend(context: &Context, request: &LoanRequest, from: SocketAddr, now: MonotonicTime) {
    let wish = LoanWish {
        number: request.number,
        tenant: request.tenant,
        borrower: request.borrower,
        units: request.units,
        min_units: request.min_units,
    };
    let rate = owning::newest_rate(context, request.tenant, request.rate, request.config_version);
    let contacts = &context.tenant_rates.contacts;
    let census = contacts.read(|known| context.peers.rate_census(known, now));
    let reaches_all = census.is_some_and(|census| census.reached >= census.nodes);
    let units = if owning::owns(context, request.tenant, now) {
        lock(&context.tenant_rates.owner).lend(&wish, &rate, reaches_all, now)
    } else {
        0
    };
    if units > 0 {
        log::info!(tenant = request.tenant.number(), to:% = from, units; "tenant_rate_lent");
    }
    let event = if units > 0 { "lent" } else { "declined" };
    context.metrics.tenant_rates.loan(event);
    let number = request.number;
    let response = TenantLoanDatagram::Response(LoanResponse { number, units });
    if let Some(bytes) = response.encode() {
        context.peers.send(&bytes, from);
    }
}

fn take_back(context: &Context, given_back: &LoanReturn, now: MonotonicTime) {
    let LoanReturn {
        number,
        tenant,
        rate,
        unused,
    } = given_back;
    let is_open = lock(&context.tenant_rates.owner).take_back(*tenant, rate, *number, *unused, now);
    context
        .metrics
        .tenant_rates
        .loan(if is_open { "returned" } else { "returned_late" });
}

/// Recalls the loans of a tenant that needs its whole bucket; whether there were any.
pub(super) fn recall(context: &Context, tenant: SubjectHandle, now: MonotonicTime) -> bool {
    let loans = lock(&context.tenant_rates.owner).recall(tenant, now);
    if loans.is_empty() {
        return false;
    }
    log::info!(tenant = tenant.number(), loans = loans.len(); "tenant_rate_loans_recalled");
    for (borrower, number) in loans {
        context.metrics.tenant_rates.loan("recalled");
        send(
            context,
            borrower,
            &TenantLoanDatagram::Recall(LoanRecall { number }),
        );
    }
    true
}

/// Charges a request to a loan; the loan's number, if it holds the request.
pub(super) fn charge_loan(context: &Context, request: &ChargeRequest) -> Option<u64> {
    let now = context.now();
    let charged = lock(&context.tenant_rates.loans).charge(request.tenant, &request.rate, request.cost, now);
    let (number, ended) = match charged {
        LoanCharge::Granted { number, ended } => (Some(number), ended),
        LoanCharge::Ask { ended } => (None, ended),
    };
    ended.iter().for_each(|rest| give_back(context, rest));
    number
}

/// Asks an owner for a loan along with a question, if one is worth its messages.
pub(super) fn ask_for_loan(context: &Context, request: &ChargeRequest, owner: SubjectHandle) {
    let question = LoanQuestion {
        number: rand::random(),
        own: context.peers.own_handle(),
        owner,
        tenant: request.tenant,
        rate: request.rate,
    };
    let wish = lock(&context.tenant_rates.loans).wish(&question, context.now());
    if let Some(wish) = wish {
        let datagram = TenantLoanDatagram::Request(LoanRequest {
            number: wish.number,
            tenant: wish.tenant,
            borrower: wish.borrower,
            rate: request.rate,
            config_version: request.config_version,
            units: wish.units,
            min_units: wish.min_units,
        });
        context.metrics.tenant_rates.loan("asked_for");
        send(context, owner, &datagram);
    }
}

/// Gives a request back to its loan that reached no engine.
pub(super) fn refund(context: &Context, number: u64, refund: &ChargeRefund) {
    lock(&context.tenant_rates.loans).refund(refund.tenant, number, refund.cost);
}

/// Gives back what is left of loans that are about to end.
pub(super) fn end_idle(context: &Context) {
    let ended = lock(&context.tenant_rates.loans).end_idle(RETURN_MARGIN, context.now());
    ended.iter().for_each(|rest| give_back(context, rest));
}

fn give_back(context: &Context, rest: &LoanRest) {
    let datagram = TenantLoanDatagram::Return(LoanReturn {
        number: rest.number,
        tenant: rest.tenant,
        rate: rest.rate,
        unused: rest.unused,
    });
    send(context, rest.owner, &datagram);
}

fn send(context: &Context, to: SubjectHandle, datagram: &TenantLoanDatagram) {
    if let (Some(bytes), Some(address)) = (datagram.encode(), context.peers.address_of(to)) {
        context.peers.send(&bytes, address);
    }
}
