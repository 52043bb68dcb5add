//! Streams of events that may be continued at another engine, within one answer or by a caller that takes them up again.
//!
//! What engines of two software versions write does not fit together, so a stream stays with the version that began it. The node
//! that passes the first event of a stream to its caller reports the origin to other nodes, and a node at which a caller takes a
//! stream up asks them.

mod content_lookup;
mod lookup;
mod origin;
mod registry;

pub use content_lookup::{ContentAnswer, ContentLookup, ContentStreams, Keepers, NotFound};
pub use lookup::{FoundStream, OriginLookup};
pub use origin::StreamOrigin;
pub use registry::{StreamKey, StreamRecord, StreamRegistry};

use std::time::Duration;

/// Placers of a large fleet that receive the origin of each stream: a loss of 0.6 of all nodes takes all of them in one case of 21.
pub const REPLICAS: usize = 6;

/// Time after a node's start until every other node sends its reports there: they have read its entry, or received a datagram from it.
pub const REPORTS_ARRIVE_AFTER: Duration = Duration::from_secs(2);

/// Time without running after which a process may have missed reports: what came meanwhile waits in the socket, as far as it has room.
pub const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Time for which a stream may be taken up after its first event, in units of its route's timeout: an answer that lasts to its
/// timeout, the caller's return, and a second answer as long as the first.
pub const LIFETIME_IN_TIMEOUTS: u32 = 3;
