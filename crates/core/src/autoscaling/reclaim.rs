//! When a zone's spot engines are being taken back.

/// Part of a zone's spot engines that leave at once, from which on all of them are taken for lost: fewer may be replaced one
/// after the other.
const RECLAIMED_PART: f64 = 0.25;

/// Fewest of them; of a handful, one that is replaced is a large part.
const RECLAIMED_FROM: u32 = 3;

/// Spot engines of a zone, as the list shows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeavingEngines {
    /// About to leave.
    pub leaving: u32,
    /// Staying.
    pub staying: u32,
}

impl LeavingEngines {
    /// Whether the platform takes them back: the list shows each a second or so after another, and all will go.
    pub fn are_taken_back(self) -> bool {
        let all = f64::from(self.leaving + self.staying);
        self.leaving >= RECLAIMED_FROM && f64::from(self.leaving) >= all * RECLAIMED_PART
    }
}
