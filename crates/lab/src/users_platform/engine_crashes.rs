//! What of a request crashes the engine that begins to write its answer.

use shelfjunction_http::HttpRequest;
use std::time::Duration;

/// Body of a request that crashes the engine that begins to run it, where the engine has a [`CrashSwitch`]; reading its
/// prompt does no harm.
pub const CRASHING_BODY: &str = "crashes whoever runs it";

/// Begin of the names of prompt parts that crash the engine that begins to write an answer on them, where the engine has a
/// [`CrashSwitch`]; reading them does no harm.
pub const CRASHING_PART: &str = "bad";

/// Ends an engine for whoever reaches it: closes its connections and refuses new ones.
pub type CrashSwitch = Box<dyn Fn() + Send + Sync>;

/// Time from the beginning of an answer to the crash by a part, in which other requests are aboard.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Whether a request's body crashes engines; what stands behind the words tells several such requests apart.
pub fn crashes_engines(body: &[u8]) -> bool {
    body.starts_with(CRASHING_BODY.as_bytes())
}

/// What of a request crashes engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashCause {
    /// The request as a whole, by its body.
    Request(String),
    /// A part of its prompt, by its name.
    Part(String),
}

impl CrashCause {
    pub(super) fn of(request: &HttpRequest) -> Option<Self> {
        if crashes_engines(&request.body) {
            return Some(Self::Request(String::from_utf8_lossy(&request.body).into_owned()));
        }
        crashing_part(request.header("Prompt-Prefix")?).map(Self::Part)
    }

    /// Time from the beginning of the answer to the crash.
    pub(super) fn delay(&self) -> Duration {
        match self {
            Self::Request(_) => Duration::ZERO,
            Self::Part(_) => CRASH_DELAY,
        }
    }
}

/// The first part of a declared prompt that crashes engines; the last one never does.
fn crashing_part(prompt: &str) -> Option<String> {
    let (shared, _) = prompt.rsplit_once(',')?;
    let mut names = shared.split(',').filter_map(|part| part.trim().split(':').next());
    names
        .find(|name| name.starts_with(CRASHING_PART))
        .map(str::to_owned)
}

/// Whether an engine that crashes over a request has sent the head of its answer by then; some have.
pub(super) fn head_comes_first(request: &str) -> bool {
    request.bytes().fold(0_u8, u8::wrapping_add).is_multiple_of(2)
}
