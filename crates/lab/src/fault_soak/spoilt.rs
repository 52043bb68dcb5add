//! Entries of engines that can't be read: what is written, and whether requests were sent on under them.

use super::crashes::CONTACT;
use super::disturbances::Disturbances;
use super::operator::base64;
use super::oracle::Violation;
use super::record::SeenCall;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// It is no base64.
    Encoding,
    /// Its JSON breaks off.
    CutOff,
    /// A field is missing.
    MissingField,
    /// A field is of another type.
    WrongType,
    /// Its state is none that is known.
    UnknownState,
    /// Its address is nobody's.
    ZeroAddress,
    /// Its start is no number.
    NoStart,
}

impl Spoilt {
    /// Every way.
    pub const ALL: [Self; 7] = [
        Self::Encoding,
        Self::CutOff,
        Self::MissingField,
        Self::WrongType,
        Self::UnknownState,
        Self::ZeroAddress,
        Self::NoStart,
    ];

    /// What stands in the store in place of a sound row.
    pub fn entry(self, row: &str) -> String {
        match self {
            Self::Encoding => format!("?{}", base64(row)),
            Self::CutOff => base64(&row[..row.len() - 1]),
            Self::MissingField => base64(&row.replace(r#""zone":"zone-a","#, "")),
            Self::WrongType => base64(&row.replace(r#""slots":8"#, r#""slots":"8""#)),
            Self::UnknownState => base64(&row.replace(r#""state":""#, r#""state":"un"#)),
            Self::ZeroAddress => base64(&row.replace("127.0.0.1", "0.0.0.0")),
            Self::NoStart => base64(&row.replace(r#""born":"#, r#""born":-"#)),
        }
    }
}

/// A time for which the entry of one start of an engine was spoilt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpoiltSpan<T = Instant> {
    /// The start.
    pub engine: String,
    /// When it was written.
    pub from: T,
    /// When the engine was listed anew, or its entry removed.
    pub until: T,
}

/// A request as it reached an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineArrival {
    /// The request.
    pub request: String,
    /// The start of the engine.
    pub engine: String,
    /// When it came, from the start of the callers.
    pub at: Duration,
}

/// Requests that reached an engine under a spoilt entry, though their nodes, in touch, had had the time to know before the
/// callers sent them. What was sent before may come late: links hold bytes for seconds.
pub fn judge(
    spans: &[SpoiltSpan<Duration>],
    arrivals: &[EngineArrival],
    calls: &[SeenCall],
    disturbances: &Disturbances,
) -> Vec<Violation> {
    let calls: BTreeMap<&str, &SeenCall> = calls.iter().map(|call| (call.request.as_str(), call)).collect();
    let mut violations = Vec::new();
    for span in spans {
        let there = arrivals
            .iter()
            .filter(|arrival| arrival.engine == span.engine && arrival.at < span.until);
        for arrival in there {
            let Some(call) = calls.get(arrival.request.as_str()) else {
                continue;
            };
            let could_know = call.sent_at > span.from + CONTACT;
            if could_know && disturbances.in_touch(call.node, call.sent_at, CONTACT) {
                violations.push(Violation::SentUnderSpoiltEntry {
                    request: arrival.request.clone(),
                    engine: span.engine.clone(),
                    after_millis: (call.sent_at - span.from).as_millis() as u64,
                });
            }
        }
    }
    violations
}
