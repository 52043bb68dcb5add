//! Faults of the stand-in platform, switched at run time.

use serde::{Deserialize, Serialize};

/// Faults of every service; replaced as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the table service.
    pub table: ServiceFaults,
    /// Faults of the object store.
    pub objects: ServiceFaults,
    /// Faults of the machine list.
    pub machines: ServiceFaults,
    /// Faults of the weight store.
    pub weights: ServiceFaults,
}

/// Faults of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Whether the service is out.
    pub outage: Outage,
    /// Time added to each answer, after the action, in milliseconds.
    pub delay_millis: u64,
    /// Which answers are lost after the action took effect.
    pub lost_answers: LostAnswers,
}

/// Whether a service is out, and how that looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// In service.
    #[default]
    None,
    /// Answers that it is unavailable and does nothing.
    Refusing,
    /// Does nothing and gives no answer.
    Silent,
}

/// Which answers are lost after the action took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswers {
    /// None.
    #[default]
    None,
    /// The next so many.
    Next(u32),
    /// One in so many, counted over the service's calls.
    OneIn(u32),
}

impl PlatformFaults {
    /// The same faults at every service.
    pub fn everywhere(faults: ServiceFaults) -> Self {
        Self {
            table: faults,
            objects: faults,
            machines: faults,
            weights: faults,
        }
    }

    /// Every service answers that it is unavailable.
    pub fn outage() -> Self {
        Self::everywhere(ServiceFaults {
            outage: Outage::Refusing,
            ..ServiceFaults::default()
        })
    }
}

impl ServiceFaults {
    /// Whether the answer to the call of this number, counted from one, is lost.
    pub(super) fn take_lost_answer(&mut self, call_number: u64) -> bool {
        match self.lost_answers {
            LostAnswers::None | LostAnswers::Next(0) => false,
            LostAnswers::Next(left) => {
                self.lost_answers = LostAnswers::Next(left - 1);
                true
            }
            LostAnswers::OneIn(period) => call_number.is_multiple_of(u64::from(period.max(1))),
        }
    }
}
