//! Names of the things the system decides about, each with a type of its own.

use serde::{Deserialize, Serialize};
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
    /// One engine: a back end that runs models, or an application that acts on calls.
    EngineId
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
