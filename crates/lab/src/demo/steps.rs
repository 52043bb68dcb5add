//! One step of the demo: a call, what it gave, and whether that is as expected.

use crate::caller::{AnswerEvent, CallResult, CallerClient, CompletionCall};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Characters of an answer that are printed.
const SHOWN_CHARACTERS: usize = 34;

/// What a call gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallReport {
    pub(super) result: CallResult,
    pub(super) request: Option<String>,
    pub(super) text: String,
    pub(super) first_token: Option<Duration>,
    pub(super) total: Duration,
}

/// What a step expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Expectation {
    /// The whole answer, with this text.
    Answer(String),
    /// The whole answer, whatever its text.
    AnyAnswer,
    /// A refusal that says "not run", with this code.
    NotRun(&'static str),
}

/// Sends a call and reads it to the end.
pub(super) fn call(
    client: &CallerClient,
    gateway: SocketAddr,
    token: &str,
    call: &CompletionCall,
) -> CallReport {
    let start = Instant::now();
    let mut report = CallReport {
        result: CallResult::Broken,
        request: None,
        text: String::new(),
        first_token: None,
        total: Duration::ZERO,
    };
    match client.complete(gateway, token, call) {
        Err(refused) => {
            report.result = refused.result;
            report.request = refused.request;
        }
        Ok(mut answer) => {
            report.request = answer.request().map(str::to_owned);
            report.result = loop {
                match answer.next_event() {
                    AnswerEvent::End(result) => break result,
                    AnswerEvent::Text(text) => {
                        report.first_token.get_or_insert_with(|| start.elapsed());
                        report.text.push_str(&text);
                    }
                }
            };
        }
    }
    report.total = start.elapsed();
    report
}

impl Expectation {
    /// Whether a call gave what is expected.
    pub(super) fn holds(&self, report: &CallReport) -> bool {
        match (self, &report.result) {
            (Self::Answer(text), CallResult::Completed) => report.text == *text,
            (Self::AnyAnswer, CallResult::Completed) => !report.text.is_empty(),
            (Self::NotRun(expected), CallResult::NotRun { code, .. }) => code == expected,
            _ => false,
        }
    }
}

/// Prints one step; gives whether it is as expected.
pub(super) fn print(title: &str, report: &CallReport, expected: &Expectation) -> bool {
    let holds = expected.holds(report);
    let mark = if holds { "ok" } else { "WRONG" };
    let shown: String = report.text.chars().take(SHOWN_CHARACTERS).collect();
    let told = match &report.result {
        CallResult::Completed => {
            let first = report.first_token.unwrap_or_default().as_secs_f64() * 1_000.0;
            let total = report.total.as_secs_f64() * 1_000.0;
            format!("\"{shown}...\" first token {first:.0} ms, whole answer {total:.0} ms")
        }
        other => format!("{other:?}"),
    };
    println!("{mark:<6}{title}: {told}");
    if !holds {
        println!("      expected {expected:?}, request {:?}", report.request);
    }
    holds
}
