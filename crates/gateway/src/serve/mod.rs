//! The callers' API over HTTP.

mod access;
mod answers;
mod call;
mod completion;
mod fetch;
mod handler;
mod keyed_refusal;
mod models;
mod refusal;
mod sinks;

pub(crate) use handler::CallerApi;
