//! The administration API against racing operators, rubbish, and a platform that loses answers or does nothing.
//!
//! The oracle is the table itself: whoever was told "accepted" is in the history at that place, whoever was told
//! "conflict" is not, the history has no gaps, and a repeated call settles what was left unsettled.
#![allow(clippy::unwrap_used)]

mod admin_support;

use admin_support::{Fault, Gateway, bundle, started, token};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use shelfjunction_core::bundle::acceptance::CurrentRow;
use shelfjunction_core::bundle::signature::ProposalId;
use shelfjunction_gateway::admin::{AdminMethod, AdminRequest, handle};
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode, ProposeRequest, RolloutReply};
use std::sync::{Arc, Mutex};

/// How two operators meet.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// One after the other.
    InTurn,
    /// The first is told anything, perhaps that it is unsettled, and asks again after the other has tried.
    AskedAgain,
    /// The second is accepted between the first one's look at the current row and its transaction.
    Overtaken,
}

fn course() -> impl Strategy<Value = Course> {
    prop_oneof![
        Just(Course::InTurn),
        Just(Course::AskedAgain),
        Just(Course::Overtaken)
    ]
}

#[derive(Clone)]
struct Racer {
    gateway: Arc<Gateway>,
    name: &'static str,
    proposal: ProposalId,
    /// Everything that anybody was ever told to be accepted.
    told: Arc<Mutex<Vec<CurrentRow>>>,
}

impl Racer {
    fn roll_out(&self) -> Result<RolloutReply, AdminError> {
        let answer = self.gateway.roll_out(self.name, &self.proposal);
        if let Ok(reply) = &answer {
            self.told.lock().unwrap().push(reply.accepted.clone());
        }
        answer
    }

    /// What the operator is told in the end about its proposal.
    fn settle(&self) -> Result<RolloutReply, AdminError> {
        loop {
            match self.roll_out() {
                Err(error)
                    if matches!(
                        error.code,
                        AdminErrorCode::PlatformUnavailable | AdminErrorCode::Unsettled
                    ) => {}
                settled => return settled,
            }
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::Unavailable),
        2 => Just(Fault::AnswerLost),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_202),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn rubbish_is_refused_with_a_clear_error(
        path in "(/admin/)?(bootstrap|bundles|bundles/[ -~]{0,9}/signatures|rollout|rollback|[ -~]{0,20})",
        body in proptest::collection::vec(any::<u8>(), 0..200),
        is_cut_off in any::<bool>(),
        cut in 0_usize..400,
        method in prop_oneof![Just(AdminMethod::Get), Just(AdminMethod::Post), Just(AdminMethod::Delete)],
    ) {
        let (platform, gateway, _) = started();
        let request = ProposeRequest { bundle: bundle("cut off"), base: None };
        let mut whole = serde_json::to_vec(&request).unwrap();
        whole.truncate(cut.min(whole.len() - 1));
        let body = if is_cut_off { &whole } else { &body };
        let before = platform.store.lock().unwrap().version;
        let token = token("alice");
        for token in [None, Some(token.as_str())] {
            let request = AdminRequest { method, path: &path, token, body };
            let response = handle(&gateway, &request);
            if method != AdminMethod::Get {
                prop_assert!((400..500).contains(&response.status), "{}", response.status);
                prop_assert!(serde_json::from_slice::<AdminError>(&response.body).is_ok());
            }
        }
        prop_assert_eq!(platform.store.lock().unwrap().version, before);
    }

    #[test]
    fn of_two_racing_operators_one_wins_and_both_learn_it(
        rounds in proptest::collection::vec(
            (any::<bool>(), course(), proptest::collection::vec(fault(), 0..14)), 1..5)
    ) {
        let (platform, first, second) = started();
        let gateways = [Arc::new(first), Arc::new(second)];
        let mut asked = Vec::new();
        let told_accepted = Arc::new(Mutex::new(Vec::new()));
        for (alice_is_first, course, faults) in rounds {
            gateways.iter().for_each(|gateway| gateway.catch_up());
            let mut racers = ["alice", "bob"].into_iter().zip(&gateways).map(|(name, gateway)| {
                let reply = gateway.propose_and_sign(name, name).unwrap();
                let proposal = reply.proposal.statement.proposal;
                Racer { gateway: Arc::clone(gateway), name, proposal, told: Arc::clone(&told_accepted) }
            }).collect::<Vec<_>>();
            if !alice_is_first {
                racers.reverse();
            }
            platform.store.lock().unwrap().faults = faults.into();
            match course {
                Course::InTurn => {}
                Course::AskedAgain => drop(racers[0].roll_out()),
                Course::Overtaken => {
                    let other = racers[1].clone();
                    *platform.interruption.lock().unwrap() = Some(Box::new(move || drop(other.settle())));
                }
            }
            asked.extend(racers);
            let told: Vec<bool> = asked[asked.len() - 2..].iter().map(|racer| racer.settle().is_ok()).collect();
            prop_assert_eq!(told.iter().filter(|won| **won).count(), 1);
            platform.store.lock().unwrap().faults.clear();
        }
        let history = platform.history();
        let generations: Vec<u64> = history.iter().map(|row| row.accepted.generation.0).collect();
        let expected: Vec<u64> = (1..=generations.len() as u64).collect();
        prop_assert_eq!(generations, expected);
        for accepted in told_accepted.lock().unwrap().iter() {
            prop_assert!(history.iter().any(|row| row.accepted == *accepted), "told what is not so");
        }
        // However much later each asks, it is told what the history says.
        for racer in asked {
            let place = racer.proposal.generation().unwrap().0 as usize - 1;
            let winner = &history[place].accepted;
            match racer.settle() {
                Ok(reply) => {
                    prop_assert_eq!(&reply.accepted, winner);
                    prop_assert_eq!(&winner.proposal, &racer.proposal);
                }
                Err(error) => {
                    prop_assert_eq!(error.code, AdminErrorCode::Conflict);
                    prop_assert_eq!(error.winner.as_deref(), Some(winner));
                    prop_assert_ne!(&winner.proposal, &racer.proposal);
                }
            }
        }
    }
}
