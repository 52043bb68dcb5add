//! Surroundings that go wrong, as every run draws them.

use crate::world::{Place, StoreTrouble, Weather};
use proptest::prelude::*;
use shelfjunction_core::engine::Role;

/// Zones of every run.
const ZONES: usize = 2;

/// Two places to cut off from one another; the same zone twice is a cut within it.
pub fn places() -> impl Strategy<Value = (Place, Place)> {
    prop_oneof![
        (0..ZONES).prop_map(|zone| (Place::Zone(zone), Place::Platform)),
        (0..ZONES).prop_map(|zone| (Place::Zone(zone), Place::Zone(zone))),
        Just((Place::Zone(0), Place::Zone(1))),
    ]
}

/// Loss, delay and garbling.
pub fn weather() -> impl Strategy<Value = Weather> {
    let garbled = prop_oneof![2 => Just(0_u32), 1 => 0_u32..200];
    (0_u32..200, 0_u32..100, 1_u64..300, garbled).prop_map(
        |(lost_per_mille, slow_per_mille, delay_millis, garbled_per_mille)| Weather {
            lost_per_mille,
            slow_per_mille,
            delay_millis,
            garbled_per_mille,
        },
    )
}

/// What is wrong with the platform.
pub fn trouble() -> impl Strategy<Value = StoreTrouble> {
    prop_oneof![
        2 => Just(StoreTrouble::None),
        1 => Just(StoreTrouble::Refusing),
        1 => Just(StoreTrouble::Silent),
        2 => (1_u32..4).prop_map(StoreTrouble::LosesOneIn),
        1 => (1_u64..2_500).prop_map(StoreTrouble::Slow),
    ]
}

/// Any role.
pub fn role() -> impl Strategy<Value = Role> {
    prop_oneof![Just(Role::Prefill), Just(Role::Decode), Just(Role::Mixed)]
}
