//! Where a stream began, and which engines may continue it.

use crate::identity::{EngineId, SoftwareVersion};
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::PoolEngine;
use serde::{Deserialize, Serialize};

/// The start of an engine that produced the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Short identifier of the start.
    pub start: SubjectHandle,
    /// Its software version; absent if it was not known when the stream began.
    pub software_version: Option<SoftwareVersion>,
}

impl StreamOrigin {
    /// The origin of a stream that begins at a listed engine.
    pub fn of(engine: &PoolEngine) -> Self {
        Self::at(&engine.id, engine.software_version.clone())
    }

    /// The origin of a stream that begins at an engine of the given version.
    pub fn at(engine: &EngineId, software_version: Option<SoftwareVersion>) -> Self {
        Self {
            start: SubjectHandle::of_engine(engine),
            software_version,
        }
    }

    /// This origin, or an earlier view of the same start if only that knows the version: the entry may be gone by now.
    pub fn or_earlier(self, earlier: &Self) -> Self {
        if self.software_version.is_none() && self.start == earlier.start {
            earlier.clone()
        } else {
            self
        }
    }

    /// Whether the stream may be continued at a start of an engine: one of the same version, or, where a version is not known, the
    /// same start.
    pub fn allows(&self, start: SubjectHandle, software_version: Option<&SoftwareVersion>) -> bool {
        match (&self.software_version, software_version) {
            (Some(began), Some(offered)) => began == offered,
            _ => self.start == start,
        }
    }

    /// Whether the stream may be continued at a listed engine.
    pub fn allows_engine(&self, engine: &PoolEngine) -> bool {
        self.allows(
            SubjectHandle::of_engine(&engine.id),
            engine.software_version.as_ref(),
        )
    }

    /// Name of the version for logs.
    pub fn version_name(&self) -> &str {
        self.software_version
            .as_ref()
            .map_or("unknown", SoftwareVersion::as_str)
    }
}
