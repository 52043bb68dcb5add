//! Calls, counted in tokens.

use crate::answer::AnswerSeed;
use crate::exports::KvExport;
use crate::sequence::SequenceWork;
use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason, Phase};
use shelfjunction_core::routing::prefix::{PrefixScope, hash_prompt};

/// Counts a call in tokens, or says what is wrong with it.
pub(crate) fn work_of(
    call: &EngineCall,
    total: u32,
    import: Option<&KvExport>,
) -> Result<SequenceWork, EngineRefusal> {
    let scope = PrefixScope {
        salt: &call.cache_salt,
        model: &call.model,
        adapter: call.adapter.as_ref(),
    };
    let blocks = hash_prompt(&scope, &call.prompt);
    if blocks.tokens == 0 || call.max_tokens == 0 || (call.import.is_some() && import.is_none()) {
        return Err(malformed());
    }
    if import.is_some_and(|import| import.binding != export_binding(call)) {
        return Err(malformed());
    }
    let output_tokens = match call.phase {
        Phase::Whole => total.saturating_sub(call.offset),
        Phase::PrefillOnly => 0,
    };
    Ok(SequenceWork {
        prompt_tokens: blocks.tokens.saturating_add(call.offset),
        prompt_blocks: blocks.hashes.into(),
        output_tokens,
        class: call.class,
        phase: call.phase,
        imported: import.is_some(),
    })
}

fn malformed() -> EngineRefusal {
    EngineRefusal {
        reason: EngineRefusalReason::Malformed,
        retry_after_millis: 0,
    }
}

/// What an exported KV cache fits: the same model, adapter, salt and prompt.
pub(crate) fn export_binding(call: &EngineCall) -> u64 {
    let salted = format!("{}\n{}", call.cache_salt, call.prompt);
    AnswerSeed::new(&call.model, call.adapter.as_ref(), &salted).0
}
