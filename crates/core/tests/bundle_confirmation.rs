//! What a process of the own zone passes on never makes a young process believe in a fresher confirmation.

use shelfjunction_core::bundle::HeadSource;
use shelfjunction_core::bundle::confirmation::Confirmation;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

#[test]
fn a_confirmation_from_before_the_start_of_the_process_counts_as_none() {
    let zone = ZoneId::new("zone");
    let now = MonotonicTime::from_millis(1_000);
    for confirmed_ago in [Duration::from_secs(3_600), Duration::MAX] {
        let source = HeadSource::Peer {
            zone: zone.clone(),
            confirmed_ago,
        };
        let mut confirmation = Confirmation::default();
        confirmation.note(Confirmation::vouched(&source, &zone, now));
        let age = confirmation.age(now);
        assert!(
            age.is_none_or(|age| age >= confirmed_ago),
            "{age:?} for {confirmed_ago:?}"
        );
    }
}
