//! Carries out the course of one request: the machine's actions, its events, and the caller's answer.

mod claim_calls;
mod dispatch_account;
mod driver;
mod engine_calls;
mod sink;

pub(crate) use driver::{Course, CourseEnd, drive};
pub(crate) use sink::{AnswerSink, Delivery, SinkClosed};
