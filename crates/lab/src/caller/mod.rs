//! A caller of the gateways' API, as the load tool, the demo and the proofs use it.

mod answer;
mod client;
pub mod server_sent_events;
mod wire;

pub use answer::{AnswerEvent, AnswerReader};
pub use client::{CallerClient, CompletionCall};
pub use wire::StatedError;
