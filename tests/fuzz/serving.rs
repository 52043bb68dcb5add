//! Stateful fuzzing of requests: claims, dispatches, streams and outcomes under failure.
#![allow(clippy::unwrap_used)]

use proptest::test_runner::Config;
use proptest_state_machine::prop_state_machine;
use shelfjunction_proofs::fuzzing::{
    fixed,
    serving::{PlannedMachine, ServingMachine},
};

prop_state_machine! {
    #![proptest_config(Config { cases: 128, ..fixed() })]

    /// No sequence of failures runs a claimed request twice, tells a caller what is not so, or gives it another's data.
    #[test]
    fn callers_are_told_what_happened(sequential 1..40 => ServingMachine);
}

prop_state_machine! {
    #![proptest_config(Config { cases: 128, ..fixed() })]

    /// Drains, role changes, leaving engines and planned stops of gateways cut off no request.
    #[test]
    fn planned_changes_cut_nothing_off(sequential 1..40 => PlannedMachine<true>);
}
