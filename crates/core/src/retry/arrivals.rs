//! Which arrivals at engines a request may cause without drawing on the budget for repeats.
//!
//! One engine may read the prompt and one may be handed the output; whatever arrives beyond them needs a grant. A
//! retry asks for one, but a prompt that is read anew is followed by an output that nobody asked a grant for.

/// What arrives at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// A prompt that is only read.
    Prompt,
    /// A request that is to be answered.
    Answer,
}

/// Arrivals of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalAccount {
    prompts: u32,
    answers: u32,
    grants: u32,
}

impl ArrivalAccount {
    /// Notes that a retry was granted out of the budget.
    pub fn note_grant(&mut self) {
        self.grants += 1;
    }

    /// Notes a dispatch that leaves.
    pub fn note_sent(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Prompt => self.prompts += 1,
            Arrival::Answer => self.answers += 1,
        }
    }

    /// Takes back a dispatch that was stopped on its way to the engine.
    pub fn note_not_arrived(&mut self, arrival: Arrival) {
        let count = match arrival {
            Arrival::Prompt => &mut self.prompts,
            Arrival::Answer => &mut self.answers,
        };
        *count = count.saturating_sub(1);
    }

    /// Dispatches that left.
    pub fn sent(&self) -> u32 {
        self.prompts + self.answers
    }

    /// Whether one more dispatch would arrive without a grant.
    pub fn lacks_grant(&self, arrival: Arrival) -> bool {
        let mut after = *self;
        after.note_sent(arrival);
        let beyond = after.prompts.saturating_sub(1) + after.answers.saturating_sub(1);
        beyond > self.grants
    }
}
