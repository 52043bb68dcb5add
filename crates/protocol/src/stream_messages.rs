//! The datagrams about streams that may be continued at another engine, and about the software versions that decide where.
//!
//! Released variants never change; additions get a variant of their own. Builds without this format drop the datagrams as
//! unreadable.

use super::datagram_format;
use super::spill_messages::SpillQuery;
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::{EngineId, SoftwareVersion};
use shelfjunction_core::placing::question::PlacementQuery;
use shelfjunction_core::streams::{
    ContentAnswer, ContentStreams, FoundStream, StreamKey, StreamOrigin, StreamRecord,
};
use std::time::Duration;

/// First byte of such a datagram.
const FORMAT: u8 = 74;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamDatagram {
    /// Software versions of starts of engines that the sender's changes of the list name without them.
    SoftwareVersions(Vec<(EngineId, SoftwareVersion)>),
    /// A question to a placer about a request that continues a stream; answered like one without an origin.
    Placement(StreamOrigin, Box<PlacementQuery>),
    /// The same to a placer of another region.
    Spill(StreamOrigin, Box<SpillQuery>),
    /// A stream whose first event the sender is about to pass to its caller.
    Began {
        /// Its keys: of the request, and of its content.
        keys: [StreamKey; 2],
        /// Its pool and origin.
        record: StreamRecord,
        /// Time for which it may be taken up, in milliseconds.
        lifetime_millis: u32,
    },
    /// Asks for the origin of a stream.
    Lookup {
        /// Random number of the question.
        number: u64,
        /// The stream.
        key: StreamKey,
    },
    /// Answer to the lookup with the same number.
    LookupAnswer {
        /// Number of the question.
        number: u64,
        /// The stream's pool and origin, and the time since it began in milliseconds; absent if the sender does not know it.
        found: Option<(StreamRecord, u32)>,
    },
    /// Asks for the streams of a content.
    ContentLookup {
        /// Random number of the question.
        number: u64,
        /// The content.
        key: StreamKey,
    },
    /// Answer to the lookup of a content with the same number.
    ContentAnswer {
        /// Number of the question.
        number: u64,
        /// What the sender knows.
        answer: ContentReport,
    },
}

/// What a node knows of the streams of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentReport {
    /// Pool and origin, and the time since the first one began in milliseconds; absent if there is none, or they differ.
    pub found: Option<(StreamRecord, u32)>,
    /// Whether there are several whose origins differ.
    pub is_ambiguous: bool,
    /// Time for which the sender has missed no report, in milliseconds; the largest number stands for ever.
    pub complete_millis: u32,
}

impl From<ContentAnswer> for ContentReport {
    fn from(answer: ContentAnswer) -> Self {
        let (found, is_ambiguous) = match answer.streams {
            ContentStreams::None => (None, false),
            ContentStreams::OfSeveral => (None, true),
            ContentStreams::OfOneOrigin(found) => (Some((found.record, millis(found.age))), false),
        };
        Self {
            found,
            is_ambiguous,
            complete_millis: millis(answer.complete_for),
        }
    }
}

impl From<ContentReport> for ContentAnswer {
    fn from(report: ContentReport) -> Self {
        let streams = match report.found {
            _ if report.is_ambiguous => ContentStreams::OfSeveral,
            None => ContentStreams::None,
            Some((record, age_millis)) => ContentStreams::OfOneOrigin(FoundStream {
                record,
                age: Duration::from_millis(age_millis.into()),
            }),
        };
        Self {
            streams,
            complete_for: match report.complete_millis {
                u32::MAX => Duration::MAX,
                millis => Duration::from_millis(millis.into()),
            },
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

impl StreamDatagram {
    /// The bytes; absent if they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent if it has another format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
