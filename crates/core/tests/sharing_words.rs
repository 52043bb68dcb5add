//! The size of what nodes tell each other of the use of pools.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::sharing::{SharingSettings, TenantRequest, UseLedger, UseWord};
use shelfjunction_core::time::MonotonicTime;

#[test]
fn a_word_about_many_pools_of_many_tenants_fits_into_a_datagram() {
    let settings = SharingSettings::default();
    let now = MonotonicTime::from_millis(1_000);
    for pools in [1, 2, 5, 16] {
        let mut node = UseLedger::default();
        for number in 0..pools {
            let pool = PoolId(format!("pool-{number}"));
            for whose in 0..74 {
                let request = TenantRequest {
                    tenant: SubjectHandle::of_text("tenant", &whose.to_string()),
                    tokens: 1e9,
                    is_admitted: true,
                    came_back: false,
                };
                node.on_request(&pool, request, &settings, now);
            }
            for kind in 0..3 {
                (0..100_000).for_each(|_| node.on_outcome(&pool, kind, true, settings.window(), now));
            }
        }
        let word = UseWord {
            node: SubjectHandle::of_text("node", "n"),
            start: u64::MAX,
            number: u64::MAX,
            told_at: MonotonicTime(u64::MAX),
            pools: node.own_word(&settings, now),
        };
        let bytes = bincode::serde::encode_to_vec(&word, bincode::config::standard()).unwrap();
        assert!(bytes.len() < 1_400, "{pools} pools: {} bytes", bytes.len());
        assert_eq!(word.pools.len(), pools.min(12));
    }
}
