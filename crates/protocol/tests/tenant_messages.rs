//! The datagrams about tenants' rates and about loans: both are read again, and builds that know only one drop the other.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::{RateUnit, TenantRate};
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_protocol::tenant_loan_messages::{
    LoanRecall, LoanRequest, LoanResponse, LoanReturn, TenantLoanDatagram,
};
use shelfjunction_protocol::tenant_rate_messages::{ChargeRefund, TenantRateDatagram};

/// Guards against a datagram about loans that an earlier build takes for another.
#[test]
fn loans_are_read_again_and_dropped_by_earlier_builds() {
    let tenant = SubjectHandle::of_text("tenant", "one");
    let rate = TenantRate::new(RateUnit::Requests, 10.0, 5.0).unwrap();
    let all = [
        TenantLoanDatagram::Request(LoanRequest {
            number: 1,
            tenant,
            borrower: tenant,
            rate,
            config_version: 3,
            units: 9,
            min_units: 2,
        }),
        TenantLoanDatagram::Response(LoanResponse { number: 1, units: 4 }),
        TenantLoanDatagram::Return(LoanReturn {
            number: 1,
            tenant,
            rate,
            unused: 2,
        }),
        TenantLoanDatagram::Recall(LoanRecall { number: 1 }),
    ];
    for datagram in all {
        let bytes = datagram.encode().unwrap();
        assert_eq!(TenantLoanDatagram::decode(&bytes), Some(datagram));
        assert_eq!(TenantLoanDatagram::decode(&bytes[..bytes.len() - 1]), None);
        assert_eq!(TenantRateDatagram::decode(&bytes), None);
        assert!(Datagram::decode(&bytes).is_none());
    }
    let charge = TenantRateDatagram::Refund(ChargeRefund {
        tenant,
        rate,
        cost: 7,
    });
    assert_eq!(TenantLoanDatagram::decode(&charge.encode().unwrap()), None);
}
