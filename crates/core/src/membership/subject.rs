//! Short names of subjects on the wire.

use super::record::RecordKey;
use crate::identity::{EngineId, EngineStart};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a handle. Among 1,330 subjects two names share one in about one fleet of a million.
pub const HANDLE_BYTES: usize = 5;

/// First bytes of the SHA-256 of a subject's kind and name; the same at every node without agreement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubjectHandle(pub [u8; HANDLE_BYTES]);

impl SubjectHandle {
    /// The handle of a subject.
    pub fn of(key: &RecordKey) -> Self {
        match key {
            RecordKey::Node(node) => Self::of_text("node", node.as_str()),
            RecordKey::Engine(engine) => Self::of_engine(engine),
        }
    }

    /// The handle of one start of an engine.
    pub fn of_engine(engine: &EngineId) -> Self {
        match engine.start() {
            EngineStart(0) => Self::of_text("engine", engine.as_str()),
            start => Self::of_text("engine", &format!("{}\0{start}", engine.as_str())),
        }
    }

    /// The handle of a name of some other kind, such as a zone's task.
    pub fn of_text(kind: &str, name: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(kind.as_bytes());
        hasher.update([0]);
        hasher.update(name.as_bytes());
        let hash = hasher.finalize();
        let mut handle = [0; HANDLE_BYTES];
        handle.copy_from_slice(&hash[..HANDLE_BYTES]);
        Self(handle)
    }

    /// The handle of something that is a well-mixed number already.
    pub fn of_number(number: u64) -> Self {
        let mut handle = [0; HANDLE_BYTES];
        handle.copy_from_slice(&number.to_be_bytes()[..HANDLE_BYTES]);
        Self(handle)
    }

    /// The handle as a number.
    pub fn number(self) -> u64 {
        self.0
            .iter()
            .fold(0, |number, byte| (number << 8) | u64::from(*byte))
    }
}

/// Spreads the bits of a number evenly (the finaliser of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
