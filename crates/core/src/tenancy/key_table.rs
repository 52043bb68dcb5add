//! Digests of secrets, searched in a time that does not depend on which one matches.

use crate::bundle::digest::Digest;
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Position of the digest of `secret` among `digests`; always looks at every one.
pub(super) fn position_of(secret: &str, digests: impl Iterator<Item = Digest>) -> Option<usize> {
    let wanted = Digest::of(secret.as_bytes());
    let mut position = 0_u64;
    let mut found = Choice::from(0);
    for (index, digest) in digests.enumerate() {
        let matches = wanted.0.ct_eq(&digest.0);
        position.conditional_assign(&(index as u64), matches);
        found |= matches;
    }
    bool::from(found).then_some(position as usize)
}
