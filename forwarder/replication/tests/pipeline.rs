//! Conditions and order of the release of effects.

use plankhill_raft_groups::{GroupId, Incarnation};
use plankhill_replication::pipeline::CommitOutcome;
use plankhill_replication::CommitPipeline;
use proptest::prelude::*;
use rstest::rstest;

fn group(number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(7),
        number,
    }
}

fn drain(pipeline: &mut CommitPipeline<u32>) -> Vec<u32> {
    std::iter::from_fn(|| pipeline.release().map(|released| released.effects)).collect()
}

#[rstest]
fn effects_are_released_once_their_iteration_and_all_before_it_are_committed() {
    let mut pipeline = CommitPipeline::default();
    pipeline.push([(group(1), 1)], 10, 1);
    pipeline.push([(group(1), 2), (group(2), 1)], 10, 2);
    pipeline.push([], 0, 3);
    assert!(
        drain(&mut pipeline).is_empty(),
        "nothing is released before its records are committed"
    );
    pipeline.committed(group(1), 2);
    pipeline.committed(group(2), 1);
    assert!(
        drain(&mut pipeline).is_empty(),
        "the previous iteration is not decided"
    );
    assert!(pipeline.awaits_group(group(1)) && !pipeline.awaits_group(group(2)));
    pipeline.committed(group(1), 1);
    assert_eq!(drain(&mut pipeline), [1, 2, 3]);
    assert!(pipeline.is_empty());
}

#[rstest]
fn records_discarded_in_one_group_are_committed_in_another() {
    let mut pipeline = CommitPipeline::default();
    pipeline.push([(group(1), 1), (group(2), 1), (group(2), 2)], 10, 1);
    pipeline.discarded(group(1), 1);
    pipeline.committed(group(2), 1);
    pipeline.discarded(group(2), 2);
    let released = pipeline.release().expect("all is decided");
    assert_eq!(released.outcome_in(group(1)), CommitOutcome::Discarded);
    assert_eq!(released.outcome_in(group(2)), CommitOutcome::Partial);
    assert_eq!(released.outcome_in(group(3)), CommitOutcome::Committed);
}

#[rstest]
fn at_its_bounds_the_pipeline_is_full_until_an_iteration_is_released() {
    let mut pipeline = CommitPipeline::default();
    let mut number = 0;
    while !pipeline.is_full(0) {
        number += 1;
        pipeline.push([(group(1), number)], 1000, 0);
    }
    assert!(number < 1000, "{number} iterations are retained");
    pipeline.committed(group(1), 1);
    assert_eq!(drain(&mut pipeline).len(), 1);
    assert!(!pipeline.is_full(0));
    assert!(pipeline.is_full(16 << 20), "a command as long as the bound");
}

#[rstest]
fn an_abandoned_group_delays_no_release_and_its_effects_are_discarded() {
    let mut pipeline = CommitPipeline::default();
    pipeline.push([(group(1), 1)], 10, 1);
    pipeline.push([(group(1), 2), (group(2), 1)], 10, 2);
    pipeline.push([(group(2), 2)], 10, 3);
    pipeline.committed(group(2), 1);
    let mut parts = Vec::new();
    pipeline.abandon_group(group(1), |number, effects| parts.push((number, *effects)));
    assert_eq!(
        parts,
        [(1, 1), (2, 2)],
        "the effects of each proposal without an outcome are passed on"
    );
    for effects in [1, 2] {
        let released = pipeline.release().expect("awaits nothing");
        assert_eq!(
            (released.effects, released.outcome_in(group(1))),
            (effects, CommitOutcome::Discarded)
        );
        assert_eq!(released.outcome_in(group(2)), CommitOutcome::Committed);
    }
    assert!(
        pipeline.release().is_none(),
        "the proposal to the other group is not decided"
    );
    pipeline.committed(group(1), 2);
    assert!(
        pipeline.release().is_none(),
        "a late outcome releases nothing"
    );
    pipeline.committed(group(2), 2);
    assert_eq!(drain(&mut pipeline), [3]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of the outcomes, each iteration is released once, in order, and only when it is
    /// decided.
    #[test]
    fn iterations_are_released_in_order_whatever_the_order_of_outcomes(
        iterations in prop::collection::vec(prop::collection::btree_set(1..4_u32, 0..3), 1..20),
        picks in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 64),
    ) {
        let mut pipeline = CommitPipeline::default();
        let mut undecided = Vec::new();
        for (at, groups) in iterations.iter().enumerate() {
            let proposals: Vec<_> = groups.iter().map(|&number| (group(number), at as u64 + 1)).collect();
            undecided.extend(&proposals);
            pipeline.push(proposals, 1, at as u32);
        }
        let mut released = drain(&mut pipeline);
        for (pick, is_committed) in picks {
            if undecided.is_empty() {
                break;
            }
            let (of, number) = undecided.swap_remove(pick.index(undecided.len()));
            if is_committed { pipeline.committed(of, number) } else { pipeline.discarded(of, number) }
            released.extend(drain(&mut pipeline));
            let first = undecided.iter().map(|&(_, number)| number as u32 - 1).min();
            prop_assert!(released.last().is_none_or(|last| first.is_none_or(|first| *last < first)));
        }
        prop_assert!(undecided.is_empty());
        prop_assert_eq!(released, (0..iterations.len() as u32).collect::<Vec<_>>());
        prop_assert!(pipeline.is_empty());
    }
}
