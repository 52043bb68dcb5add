//! Which arrivals at engines a request may cause without drawing on the budget for repeats.
//!
//! One engine may read the prompt and one may be handed the output; whatever arrives beyond them needs a grant. A
//! retry asks for one, but a prompt that is read anew is followed by an output that nobody asked a grant for.

use super::exchange::Purpose;

/// Arrivals of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ArrivalAccount {
    prompts: u32,
    answers: u32,
    grants: u32,
}

impl ArrivalAccount {
    /// Notes that a retry was granted out of the budget.
    pub(super) fn note_grant(&mut self, granted: bool) {
        self.grants += u32::from(granted);
    }

    /// Notes a dispatch that leaves.
    pub(super) fn note_sent(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Prompt => self.prompts += 1,
            Purpose::Output | Purpose::Whole => self.answers += 1,
        }
    }

    /// Whether one more dispatch would arrive without a grant; where it does, the grant must be taken now.
    pub(super) fn lacks_grant(&mut self, purpose: Purpose) -> bool {
        let mut after = *self;
        after.note_sent(purpose);
        let beyond = after.prompts.saturating_sub(1) + after.answers.saturating_sub(1);
        let lacks = beyond > self.grants;
        self.grants += u32::from(lacks);
        lacks
    }
}
