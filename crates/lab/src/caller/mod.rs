//! A caller of the gateways' API, as the load tool, the demo and the proofs use it.

mod answer;
mod client;
mod result;
pub mod server_sent_events;
mod wire;

pub use answer::{AnswerEvent, AnswerReader};
pub use client::{CallerClient, CompletionCall};
pub use result::{CallResult, Refused};
