//! Names of the things the system decides about, each with a type of its own.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Wraps the given text.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_identifier!(
    /// One machine that runs a gateway and a controller.
    NodeId
);
text_identifier!(
    /// One zone: machines that fail or are cut off together.
    ZoneId
);
text_identifier!(
    /// One region: zones with short delays between them.
    RegionId
);
text_identifier!(
    /// One organisation whose data is kept apart from every other's.
    TenantId
);
text_identifier!(
    /// One model, without its version.
    ModelId
);
text_identifier!(
    /// One adapter of a model.
    AdapterId
);
text_identifier!(
    /// One version of a model's or an adapter's weights.
    WeightVersion
);
text_identifier!(
    /// Version of the software of one start of an engine, not of the weights that it holds. Versions have no order.
    SoftwareVersion
);
text_identifier!(
    /// One request of a caller; unguessable, chosen by the gateway that admitted it.
    RequestId
);
text_identifier!(
    /// One dispatch of a request to one engine.
    AttemptId
);
text_identifier!(
    /// One order to an engine; the same order sent twice keeps its identifier.
    OrderId
);
text_identifier!(
    /// One person or program that may use the administration API.
    OperatorId
);

/// Longest software version that is kept as it is written, in bytes; a longer one is replaced by its digest of this length.
const MAX_SOFTWARE_VERSION_BYTES: usize = 64;

impl SoftwareVersion {
    /// The version that a platform names; absent if the text is empty.
    pub fn of_text(text: &str) -> Option<Self> {
        if text.len() > MAX_SOFTWARE_VERSION_BYTES {
            return Some(Self(hex::encode(Sha256::digest(text))));
        }
        (!text.is_empty()).then(|| Self::new(text))
    }
}

/// When an engine was started, as the platform numbers it: a later start of the engine of the same name has a higher
/// number. Zero where the platform doesn't tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineStart(pub u64);

impl fmt::Display for EngineStart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One start of one engine: a back end that runs models, or an application that acts on calls.
///
/// An engine that starts again may keep its name. It holds and knows nothing of before, so whatever is believed of an
/// engine is believed of one start of it. In texts for people, such as JSON and logs, the name stands alone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId {
    name: String,
    start: EngineStart,
}

impl EngineId {
    /// An engine whose start the platform doesn't tell.
    pub fn new(name: impl Into<String>) -> Self {
        Self::started(name, EngineStart::default())
    }

    /// One start of an engine.
    pub fn started(name: impl Into<String>, start: EngineStart) -> Self {
        Self {
            name: name.into(),
            start,
        }
    }

    /// The engine's name, which its later starts may share.
    pub fn as_str(&self) -> &str {
        &self.name
    }

    /// The start.
    pub fn start(&self) -> EngineStart {
        self.start
    }
}

impl fmt::Display for EngineId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}

impl Serialize for EngineId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.serialize_str(&self.name);
        }
        (&self.name, self.start).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for EngineId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return String::deserialize(deserializer).map(Self::new);
        }
        let (name, start) = <(String, EngineStart)>::deserialize(deserializer)?;
        Ok(Self { name, start })
    }
}

/// Proof of authority over the engines of a zone; a higher one supersedes every lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Position of an accepted bundle in the one history of accepted bundles, counted from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
