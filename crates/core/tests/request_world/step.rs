//! What can happen in the world.

use proptest::prelude::*;

/// One thing that happens; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends a request; the same key may come with another body, and at the other gateway.
    Start { key: Option<u8>, body: u8, gateway: u8 },
    /// The oldest question of a course is answered, in one of several ways.
    Answer { course: u8, fate: u8 },
    /// The oldest transaction on its way ends, in one of several ways.
    Table { fate: u8 },
    /// A transaction whose answer was lost takes effect after all.
    LateWrite { which: u8 },
    /// A call that was given up arrives after all.
    LateCall { which: u8 },
    /// An engine finishes what it runs.
    Finish { engine: u8 },
    /// An engine restarts empty.
    Crash { engine: u8 },
    /// A caller cancels, goes away, or its deadline comes.
    Caller { course: u8, what: u8 },
}

/// Any step, the answers most often.
pub fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (prop::option::weighted(0.7, 0..2u8), 0..2u8, any::<u8>())
            .prop_map(|(key, body, gateway)| Step::Start { key, body, gateway }),
        20 => (any::<u8>(), any::<u8>()).prop_map(|(course, fate)| Step::Answer { course, fate }),
        8 => any::<u8>().prop_map(|fate| Step::Table { fate }),
        1 => any::<u8>().prop_map(|which| Step::LateWrite { which }),
        1 => any::<u8>().prop_map(|which| Step::LateCall { which }),
        1 => any::<u8>().prop_map(|engine| Step::Finish { engine }),
        1 => any::<u8>().prop_map(|engine| Step::Crash { engine }),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(course, what)| Step::Caller { course, what }),
    ]
}
