//! Prefix hashes: prompts share exactly the blocks of their common prefix, and only with equal salt, model and adapter.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfjunction_core::identity::{AdapterId, ModelId};
use shelfjunction_core::routing::prefix::{BLOCK_TOKENS, PrefixScope, hash_prompt, matching_blocks};

fn random_words() -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec("[ab]{1,2}", 0..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn matching_blocks_equal_the_common_prefix(first in random_words(), second in random_words(), shared in 0_usize..80) {
        let shared = shared.min(first.len());
        let with_shared_prefix = [&first[..shared], &second].concat();
        let model = ModelId::new("renewal");
        let scope = PrefixScope { salt: "salt", model: &model, adapter: None };
        let first_hashes = hash_prompt(&scope, &first.join(" "));
        let second_hashes = hash_prompt(&scope, &with_shared_prefix.join("\n\t "));
        let common = first.iter().zip(&with_shared_prefix).take_while(|(a, b)| a == b).count();
        let full = common.min(first.len()).min(with_shared_prefix.len()) / BLOCK_TOKENS;
        prop_assert_eq!(first_hashes.tokens as usize, first.len());
        prop_assert_eq!(matching_blocks(&first_hashes.hashes, |hash| second_hashes.hashes.contains(&hash)), full);
    }

    #[test]
    fn hashes_differ_for_different_salt_model_or_adapter(text in random_words(), changed_field in 0_usize..3) {
        let model = ModelId::new("renewal");
        let other_model = ModelId::new("renewal-2");
        let adapter = AdapterId::new("chain");
        let scope = PrefixScope { salt: "one", model: &model, adapter: None };
        let other = match changed_field {
            0 => PrefixScope { salt: "two", ..scope },
            1 => PrefixScope { model: &other_model, ..scope },
            _ => PrefixScope { adapter: Some(&adapter), ..scope },
        };
        let first_hashes = hash_prompt(&scope, &text.join(" "));
        let second_hashes = hash_prompt(&other, &text.join(" "));
        prop_assert!(first_hashes.hashes.iter().all(|hash| !second_hashes.hashes.contains(hash)));
    }
}
