//! The configuration in force at one node: it only ever moves to a higher version.

use super::config::ForwardingConfig;
use crate::setting::FieldError;
use crate::time::MonotonicTime;
use std::sync::Arc;

/// What became of a configuration that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// In force from now on, in place of the given version.
    Adopted {
        /// The version before; absent for the first.
        before: Option<u64>,
    },
    /// Not newer than what is in force.
    NotNewer,
    /// Faulty; what was in force stays.
    Refused(Vec<FieldError>),
}

/// The configuration in force; none until the first was offered.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    current: Option<Arc<ForwardingConfig>>,
    since: MonotonicTime,
}

impl ConfigInForce {
    /// Takes a configuration if it is newer and without fault.
    pub fn offer(&mut self, offered: ForwardingConfig, now: MonotonicTime) -> Adoption {
        let before = self.current.as_ref().map(|config| config.version);
        if before.is_some_and(|version| version >= offered.version) {
            return Adoption::NotNewer;
        }
        let faults = offered.validate();
        if !faults.is_empty() {
            return Adoption::Refused(faults);
        }
        self.current = Some(Arc::new(offered));
        self.since = now;
        Adoption::Adopted { before }
    }

    /// The configuration; absent until the first.
    pub fn current(&self) -> Option<&Arc<ForwardingConfig>> {
        self.current.as_ref()
    }

    /// When the present version came into force here.
    pub fn since(&self) -> MonotonicTime {
        self.since
    }
}
