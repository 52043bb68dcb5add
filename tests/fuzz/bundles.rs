//! Stateful fuzzing of bundles: racing operators, stale peers, forgeries, cuts and outages over time.
#![allow(clippy::unwrap_used)]

use proptest::test_runner::Config;
use proptest_state_machine::prop_state_machine;
use shelfjunction_proofs::fuzzing::{bundles::BundleMachine, fixed};

prop_state_machine! {
    #![proptest_config(Config { cases: 48, ..fixed() })]

    /// One history, never backwards, in force everywhere within seconds; isolation exactly where nobody can vouch.
    #[test]
    fn bundles_move_forward_only(sequential 1..40 => BundleMachine);
}
