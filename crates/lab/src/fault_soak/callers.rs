//! Callers that send requests to any node and note what they see.

use super::deployment::Deployment;
use super::operator::tenant_of;
use super::record::{CallKind, SeenAnswer, SeenCall};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use ureq::Agent;
use ureq::http::Response;

/// Time that a caller waits, as it tells the node.
pub(super) const DEADLINE: Duration = Duration::from_millis(4_000);

/// Time after which a caller gives up whatever the node does.
pub(super) const GIVES_UP: Duration = Duration::from_millis(6_500);

/// Pauses between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 20..150;

/// What is sent.
pub struct Content<'a> {
    /// Name of the request.
    pub request: String,
    /// Its kind.
    pub kind: CallKind,
    /// Its body.
    pub body: &'a str,
    /// Parts of its prompt; drawn where absent.
    pub parts: Option<&'a str>,
    /// Time for which nothing is read once the answer's head has come.
    pub reads_after: Duration,
    /// The stream that it takes up.
    pub takes_up: Option<TakenUp>,
    /// Events after which the caller leaves.
    pub leaves_after: Option<usize>,
}

/// A stream of which a caller has some events.
pub struct TakenUp {
    /// The request whose answer brought the first of them.
    pub request: String,
    /// The last of them.
    pub last_event: u64,
}

/// One caller.
pub struct Caller {
    number: u64,
    random: ChaCha8Rng,
    agent: Agent,
    sent: u64,
}

impl Caller {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(number + 1)),
            agent: new_agent(),
            sent: 0,
        }
    }

    /// Sends requests until told to stop; what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if deployment.crowded.node().is_some() {
                // Callers open new connections more often then.
                self.agent = new_agent();
            }
            let node = deployment
                .crowded
                .draw(deployment.targets().nodes, &mut self.random);
            let kind = CallKind::ALL[self.random.random_range(0..CallKind::ALL.len())];
            seen.push(self.call(deployment.address(node), node, kind, begun));
            std::thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
        }
        seen
    }

    /// Sends one request and waits for what comes.
    pub fn call(&mut self, address: SocketAddr, node: usize, kind: CallKind, begun: Instant) -> SeenCall {
        self.sent += 1;
        let request = format!("caller{}-{}", self.number, self.sent);
        let content = Content {
            request,
            kind,
            body: "body",
            parts: None,
            reads_after: Duration::ZERO,
            takes_up: None,
            leaves_after: None,
        };
        self.send(address, node, content, begun)
    }

    /// Sends what is given to a node and waits for what comes.
    pub fn send(
        &mut self,
        address: SocketAddr,
        node: usize,
        content: Content<'_>,
        begun: Instant,
    ) -> SeenCall {
        let sent_at = begun.elapsed();
        let answer = self.ask(address, &content);
        SeenCall {
            request: content.request,
            kind: content.kind,
            node,
            sent_at,
            took: begun.elapsed().saturating_sub(sent_at),
            answer,
        }
    }

    fn ask(&mut self, address: SocketAddr, content: &Content<'_>) -> Option<SeenAnswer> {
        let (request, kind) = (content.request.as_str(), content.kind);
        let shared = self.random.random_range(0..20);
        let asked = self
            .agent
            .post(format!("http://{address}{}", kind.path()))
            .header("Host", "svc.example")
            .header("Request-Id", request)
            .header("Key", tenant_of(request).key)
            .header("Deadline-Remaining", DEADLINE.as_millis().to_string());
        let asked = if kind.has_events() {
            let drawn = || format!("a{shared}:800,b{}:200", self.sent);
            let parts = content.parts.map_or_else(drawn, str::to_owned);
            asked
                .header("Model", "m")
                .header("Token-Counts", "1000,10")
                .header("Prompt-Prefix", parts)
        } else {
            asked
        };
        let asked = match &content.takes_up {
            Some(stream) => asked
                .header("Resumes", &stream.request)
                .header("Last-Event-Id", stream.last_event.to_string()),
            None => asked,
        };
        let answer = asked.send(content.body).ok()?;
        std::thread::sleep(content.reads_after);
        Some(read(answer, content.leaves_after))
    }
}

/// Connections of their own.
fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(GIVES_UP))
        .build();
    Agent::new_with_config(config)
}

fn read(mut answer: Response<ureq::Body>, leaves_after: Option<usize>) -> SeenAnswer {
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (request, signature) = (header("Request-Id"), header("Response-Signature"));
    let status = answer.status().as_u16();
    let mut body = Vec::new();
    let whole = match leaves_after {
        Some(events) => read_events(answer.body_mut().as_reader(), events, &mut body),
        None => answer.body_mut().as_reader().read_to_end(&mut body).is_ok(),
    };
    SeenAnswer {
        status,
        request,
        signature,
        body: String::from_utf8_lossy(&body).into_owned(),
        whole,
    }
}

/// Reads so many events of a series; whether it came to its end before.
fn read_events(mut reader: impl Read, events: usize, body: &mut Vec<u8>) -> bool {
    let mut byte = [0];
    while body.windows(2).filter(|pair| pair == b"\n\n").count() < events {
        match reader.read(&mut byte) {
            Ok(0) => return true,
            Ok(_) => body.push(byte[0]),
            Err(_) => return false,
        }
    }
    false
}
