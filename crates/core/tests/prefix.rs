//! Prefix identity: equal prompts share exactly their common blocks, and only under one salt, model and adapter.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shelfjunction_core::identity::{AdapterId, ModelId};
use shelfjunction_core::routing::prefix::{BLOCK_TOKENS, PrefixScope, hash_prompt, matching_blocks};

fn words() -> impl Strategy<Value = Vec<String>> {
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
    fn blocks_agree_exactly_as_far_as_the_words_do(first in words(), second in words(), shared in 0_usize..80) {
        let shared = shared.min(first.len());
        let joined = [&first[..shared], &second].concat();
        let model = ModelId::new("renewal");
        let scope = PrefixScope { salt: "salt", model: &model, adapter: None };
        let left = hash_prompt(&scope, &first.join(" "));
        let right = hash_prompt(&scope, &joined.join("\n\t "));
        let common = first.iter().zip(&joined).take_while(|(left, right)| left == right).count();
        let full = common.min(first.len()).min(joined.len()) / BLOCK_TOKENS;
        prop_assert_eq!(left.tokens as usize, first.len());
        prop_assert_eq!(matching_blocks(&left.hashes, |hash| right.hashes.contains(&hash)), full);
    }

    #[test]
    fn nothing_is_shared_across_salt_model_or_adapter(text in words(), which in 0_usize..3) {
        let model = ModelId::new("renewal");
        let other_model = ModelId::new("renewal-2");
        let adapter = AdapterId::new("chain");
        let scope = PrefixScope { salt: "one", model: &model, adapter: None };
        let other = match which {
            0 => PrefixScope { salt: "two", ..scope },
            1 => PrefixScope { model: &other_model, ..scope },
            _ => PrefixScope { adapter: Some(&adapter), ..scope },
        };
        let left = hash_prompt(&scope, &text.join(" "));
        let right = hash_prompt(&other, &text.join(" "));
        prop_assert!(left.hashes.iter().all(|hash| !right.hashes.contains(hash)));
    }
}
