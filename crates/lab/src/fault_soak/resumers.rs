//! Callers that leave their streams, or lose them, and take them up at other nodes, and the judgement of what they got.

use super::callers::{Caller, Content, TakenUp};
use super::deployment::{Deployment, EVENTS};
use super::oracle::Violation;
use super::record::{CallKind, SeenCall};
use crate::users_platform::{BREAKING_BODY, VERSIONED_BODY};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How their requests' names begin.
const PREFIX: &str = "resumer";

/// Pauses between two tries or two streams, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 5..120;

/// Numbers from which these callers are counted, so that their draws are not those of others.
const RESUMERS: u64 = 1_100_000;

/// Most tries at one stream.
const MAX_TRIES: usize = 5;

/// Whether a request is one of theirs.
pub(super) fn is_resumer(request: &str) -> bool {
    request.starts_with(PREFIX)
}

/// One stream as its caller got it, over all tries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenStream {
    /// The request whose answer brought the first event.
    pub request: String,
    /// Identifiers of the events with the software versions of their engines, in the order in which they came.
    pub events: Vec<(u64, String)>,
    /// Tries to take it up, and those that brought a further event or the end.
    pub taken_up: u32,
    /// See `taken_up`.
    pub went_on: u32,
}

/// One caller.
pub struct Resumer {
    number: u64,
    random: ChaCha8Rng,
    caller: Caller,
    sent: u64,
}

/// What a caller did and saw.
#[derive(Debug, Default)]
pub struct ResumerRecord {
    /// Every request, without what was read of its answer.
    pub calls: Vec<SeenCall>,
    /// Every stream that began.
    pub streams: Vec<SeenStream>,
}

impl Resumer {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(RESUMERS + number)),
            caller: Caller::new(seed, RESUMERS + number),
            sent: 0,
        }
    }

    /// Asks for streams until `stop` is set.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> ResumerRecord {
        let mut record = ResumerRecord::default();
        while !stop.load(Ordering::Relaxed) {
            self.get_stream(deployment, begun, &mut record);
        }
        record
    }

    fn get_stream(&mut self, deployment: &Deployment, begun: Instant, record: &mut ResumerRecord) {
        let body = if self.random.random_bool(0.5) {
            format!("{VERSIONED_BODY}, {BREAKING_BODY}")
        } else {
            VERSIONED_BODY.to_owned()
        };
        let mut stream: Option<SeenStream> = None;
        for _ in 0..MAX_TRIES {
            let call = self.ask(deployment, begun, &body, stream.as_ref());
            let answer = call.answer.as_ref().filter(|answer| answer.status == 200);
            let events = answer.map(|answer| events(&answer.body)).unwrap_or_default();
            let is_whole = answer.is_some_and(|answer| answer.whole);
            match &mut stream {
                Some(stream) => {
                    stream.taken_up += 1;
                    stream.went_on += u32::from(is_whole || !events.is_empty());
                    stream.events.extend(events);
                }
                None if !events.is_empty() => {
                    stream = Some(SeenStream {
                        request: call.request.clone(),
                        events,
                        taken_up: 0,
                        went_on: 0,
                    });
                }
                None => {}
            }
            record.calls.push(without_body(call));
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
            if is_whole {
                break;
            }
        }
        record.streams.extend(stream);
    }

    fn ask(
        &mut self,
        deployment: &Deployment,
        begun: Instant,
        body: &str,
        stream: Option<&SeenStream>,
    ) -> SeenCall {
        self.sent += 1;
        let node = self.random.random_range(0..deployment.targets().nodes);
        let leaves = self.random.random_bool(0.4);
        let leaves_after = leaves.then(|| self.random.random_range(1..EVENTS as usize));
        let content = Content {
            // The last letter decides about the tenant, which must be the same in all tries.
            request: format!("{PREFIX}{}-{}-t", self.number, self.sent),
            kind: CallKind::Again,
            body,
            parts: None,
            reads_after: Duration::ZERO,
            takes_up: stream.map(|stream| TakenUp {
                request: stream.request.clone(),
                last_event: stream.events.last().map_or(0, |(id, _)| *id),
            }),
            leaves_after,
        };
        self.caller.send(deployment.address(node), node, content, begun)
    }
}

/// The whole events of a body.
fn events(body: &str) -> Vec<(u64, String)> {
    let whole = body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    whole.split("\n\n").filter_map(event).collect()
}

fn event(text: &str) -> Option<(u64, String)> {
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("id: "))?
        .parse()
        .ok()?;
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some((id, data.split_once(' ')?.1.to_owned()))
}

/// What its caller read is judged by stream.
fn without_body(mut call: SeenCall) -> SeenCall {
    if let Some(answer) = &mut call.answer {
        answer.body.clear();
        answer.whole = false;
    }
    call
}

/// Streams that were taken up, and those that went on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakeUpCount {
    /// Streams that began.
    pub streams: usize,
    /// Tries to take one up.
    pub taken_up: u32,
    /// Those that brought a further event or the end.
    pub went_on: u32,
}

impl TakeUpCount {
    /// Counts streams.
    pub fn of(streams: &[SeenStream]) -> Self {
        Self {
            streams: streams.len(),
            taken_up: streams.iter().map(|stream| stream.taken_up).sum(),
            went_on: streams.iter().map(|stream| stream.went_on).sum(),
        }
    }
}

impl fmt::Display for TakeUpCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} streams, {} of {} take-ups went on",
            self.streams, self.went_on, self.taken_up
        )
    }
}

/// Streams whose events are not in order, or come from engines of several software versions.
pub fn judge(streams: &[SeenStream]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for stream in streams {
        let versions: BTreeSet<String> = stream.events.iter().map(|(_, version)| version.clone()).collect();
        if versions.len() > 1 {
            violations.push(Violation::MixedVersions(stream.request.clone(), versions));
        }
        if !(1..).zip(&stream.events).all(|(wanted, (id, _))| wanted == *id) {
            let ids: Vec<u64> = stream.events.iter().map(|(id, _)| *id).collect();
            violations.push(Violation::EventsOutOfOrder(
                stream.request.clone(),
                format!("{ids:?}"),
            ));
        }
    }
    violations
}
