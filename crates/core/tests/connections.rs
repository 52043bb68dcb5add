//! Resting connections of all nodes to one engine, beside what the engine takes.

use shelfjunction_core::connections::resting_allowed;
use shelfjunction_core::membership::subject::SubjectHandle;

fn at_one_engine(limit: u32, nodes: u32, engine: u32) -> Vec<usize> {
    let engine = SubjectHandle::of_text("engine", &format!("i-{engine}"));
    (0..nodes)
        .map(|number| {
            let node = SubjectHandle::of_text("node", &format!("frontend-{number}"));
            resting_allowed(limit, nodes, node, engine)
        })
        .collect()
}

#[test]
fn all_nodes_together_stay_within_what_an_engine_takes() {
    for (limit, nodes) in [(50, 200), (300, 60), (520, 66), (2_100, 985), (2_100, 1_970)] {
        for engine in 0..20 {
            let sum: usize = at_one_engine(limit, nodes, engine).iter().sum();
            assert!(
                sum <= limit as usize,
                "{sum} of {limit} by {nodes} nodes at engine {engine}"
            );
        }
    }
}

#[test]
fn few_nodes_keep_as_many_as_before() {
    assert!(at_one_engine(360, 7, 1).iter().all(|allowed| *allowed == 24));
}

#[test]
fn where_an_engine_takes_fewer_than_there_are_nodes_some_of_them_keep_one() {
    let allowed = at_one_engine(50, 200, 1);
    assert!(allowed.iter().all(|allowed| *allowed <= 1));
    let keep_one: usize = allowed.iter().sum();
    assert!((20..=50).contains(&keep_one), "{keep_one} of 200 nodes keep one");
}
