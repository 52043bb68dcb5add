//! Stateful fuzzing of authority over engines: leases, fences and orders of several controllers under failure.
#![allow(clippy::unwrap_used)]

use proptest::test_runner::Config;
use proptest_state_machine::prop_state_machine;
use shelfjunction_proofs::fuzzing::{authority::AuthorityMachine, fixed};

prop_state_machine! {
    #![proptest_config(Config { cases: 48, ..fixed() })]

    /// No sequence of failures makes an engine obey two holders, and every engine reaches its goal afterwards.
    #[test]
    fn engines_obey_one_holder(sequential 1..40 => AuthorityMachine);
}
