//! All that a request can be charged as when an engine crashes.

use super::Fingerprint;
use crate::routing::pool::PromptShape;

/// Most parts of a prompt that are charged; the first ones are shared by most requests.
const MAX_PARTS: usize = 16;

/// A request and the parts of its prompt that others may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSubjects {
    /// The request as a whole.
    pub request: Fingerprint,
    /// Parts in the order of the prompt.
    pub parts: Vec<Fingerprint>,
}

impl RequestSubjects {
    /// The subjects of a request with a declared prompt, or without one.
    pub fn of(request: Fingerprint, prompt: Option<&PromptShape>) -> Self {
        let parts = prompt.map_or_else(Vec::new, |prompt| {
            let shared = prompt.shared_parts().iter().take(MAX_PARTS);
            shared
                .map(|part| Fingerprint::of_part(&prompt.model, part))
                .collect()
        });
        Self { request, parts }
    }

    /// All of them, the most widely shared first.
    pub fn iter(&self) -> impl Iterator<Item = &Fingerprint> {
        self.parts.iter().chain([&self.request])
    }
}
