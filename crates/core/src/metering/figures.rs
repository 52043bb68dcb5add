//! Figures of a window in a form that logs can compare.

use super::tally::TenantCounts;
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Short digest of a window's figures: two reports with the same digest have the same counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FiguresDigest([u8; 8]);

impl FiguresDigest {
    /// The digest of these counts.
    pub fn of(counts: &TenantCounts) -> Self {
        let mut hasher = Sha256::new();
        for (tenant, count) in counts {
            hasher.update((tenant.as_str().len() as u64).to_le_bytes());
            hasher.update(tenant.as_str());
            hasher.update(count.to_le_bytes());
        }
        let digest = hasher.finalize();
        let mut short = [0; 8];
        short.copy_from_slice(&digest[..8]);
        Self(short)
    }
}

impl fmt::Display for FiguresDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}
