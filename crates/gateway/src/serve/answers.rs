//! Bodies of answers and events.

use super::call::CallShape;
use shelfjunction_protocol::caller::{
    AnswerObject, ChatDelta, ChatMessage, ChatRole, CompletionAnswer, CompletionChoice, FinishReason, Usage,
};

/// What all bodies of one answer have in common.
#[derive(Clone, Debug)]
pub(super) struct AnswerFrame {
    pub(super) shape: CallShape,
    /// Model as the caller named it; empty where a fetch does not know it.
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    /// Output tokens at which the answer is cut; zero where that is not known.
    pub(super) max_tokens: u32,
}

impl AnswerFrame {
    /// One event with a token.
    pub(super) fn token_event(&self, id: &str, offset: u32, text: &str) -> Vec<u8> {
        let choice = CompletionChoice {
            offset: Some(offset),
            ..self.piece(text)
        };
        event(&self.answer(id, self.chunk_object(), choice, None))
    }

    /// The event that tells how the answer ended.
    pub(super) fn end_event(&self, id: &str, tokens: u32, cached: u32) -> Vec<u8> {
        let choice = CompletionChoice {
            finish_reason: Some(self.finish_reason(tokens)),
            ..self.piece("")
        };
        let usage = Some(self.usage(tokens, cached));
        event(&self.answer(id, self.chunk_object(), choice, usage))
    }

    /// A whole answer.
    pub(super) fn whole(&self, id: &str, text: String, tokens: u32, cached: u32) -> Vec<u8> {
        let mut choice = CompletionChoice {
            finish_reason: Some(self.finish_reason(tokens)),
            ..CompletionChoice::default()
        };
        let object = match self.shape {
            CallShape::Completion => {
                choice.text = Some(text);
                AnswerObject::TextCompletion
            }
            CallShape::Chat => {
                choice.message = Some(ChatMessage {
                    role: ChatRole::Assistant,
                    content: text,
                });
                AnswerObject::ChatCompletion
            }
        };
        let usage = Some(self.usage(tokens, cached));
        serde_json::to_vec(&self.answer(id, object, choice, usage)).unwrap_or_default()
    }

    fn answer(
        &self,
        id: &str,
        object: AnswerObject,
        choice: CompletionChoice,
        usage: Option<Usage>,
    ) -> CompletionAnswer {
        CompletionAnswer {
            id: id.to_owned(),
            object,
            model: self.model.clone(),
            choices: vec![choice],
            usage,
        }
    }

    fn piece(&self, text: &str) -> CompletionChoice {
        let mut choice = CompletionChoice::default();
        match self.shape {
            CallShape::Completion => choice.text = Some(text.to_owned()),
            CallShape::Chat => {
                choice.delta = Some(ChatDelta {
                    content: text.to_owned(),
                });
            }
        }
        choice
    }

    fn chunk_object(&self) -> AnswerObject {
        match self.shape {
            CallShape::Completion => AnswerObject::TextCompletion,
            CallShape::Chat => AnswerObject::ChatCompletionChunk,
        }
    }

    fn finish_reason(&self, tokens: u32) -> FinishReason {
        if self.max_tokens > 0 && tokens >= self.max_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        }
    }

    fn usage(&self, tokens: u32, cached: u32) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            cached_prompt_tokens: cached,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        }
    }
}

fn event(answer: &CompletionAnswer) -> Vec<u8> {
    let mut bytes = b"data: ".to_vec();
    bytes.extend(serde_json::to_vec(answer).unwrap_or_default());
    bytes.extend(b"\n\n");
    bytes
}
