//! What leaves, when, and in which order.

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
fn an_iterations_effects_leave_once_it_and_all_before_it_are_committed() {
    let mut pipeline = CommitPipeline::default();
    pipeline.push([(group(1), 1)], 10, 1);
    pipeline.push([(group(1), 2), (group(2), 1)], 10, 2);
    pipeline.push([], 0, 3);
    assert!(
        drain(&mut pipeline).is_empty(),
        "nothing leaves before its marks count"
    );
    pipeline.committed(group(1), 2);
    pipeline.committed(group(2), 1);
    assert!(
        drain(&mut pipeline).is_empty(),
        "the round before is not decided"
    );
    assert!(pipeline.awaits_group(group(1)) && !pipeline.awaits_group(group(2)));
    pipeline.committed(group(1), 1);
    assert_eq!(drain(&mut pipeline), [1, 2, 3]);
    assert!(pipeline.is_empty());
}

#[rstest]
fn records_discarded_in_one_group_count_in_another() {
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
fn past_its_bounds_the_pipeline_is_full_until_an_iteration_leaves() {
    let mut pipeline = CommitPipeline::default();
    let mut number = 0;
    while !pipeline.is_full(0) {
        number += 1;
        pipeline.push([(group(1), number)], 1000, 0);
    }
    assert!(number < 1000, "{number} rounds wait");
    pipeline.committed(group(1), 1);
    assert_eq!(drain(&mut pipeline).len(), 1);
    assert!(!pipeline.is_full(0));
    assert!(
        pipeline.is_full(16 << 20),
        "a command as long as all that may wait"
    );
}

#[rstest]
fn an_abandoned_group_holds_nothing_up_and_its_effects_do_not_leave() {
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
        "whoever waits for these is told later what became of them"
    );
    for effects in [1, 2] {
        let released = pipeline.release().expect("waits for nothing");
        assert_eq!(
            (released.effects, released.outcome_in(group(1))),
            (effects, CommitOutcome::Discarded)
        );
        assert_eq!(released.outcome_in(group(2)), CommitOutcome::Committed);
    }
    assert!(
        pipeline.release().is_none(),
        "the other group's is not decided"
    );
    pipeline.committed(group(1), 2);
    assert!(
        pipeline.release().is_none(),
        "a late answer releases nothing"
    );
    pipeline.committed(group(2), 2);
    assert_eq!(drain(&mut pipeline), [3]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the order of the answers, each round leaves once, in its turn, and only when decided.
    #[test]
    fn iterations_leave_in_order_whatever_the_order_of_answers(
        rounds in prop::collection::vec(prop::collection::btree_set(1..4_u32, 0..3), 1..20),
        picks in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 64),
    ) {
        let mut pipeline = CommitPipeline::default();
        let mut open = Vec::new();
        for (at, groups) in rounds.iter().enumerate() {
            let waits: Vec<_> = groups.iter().map(|&number| (group(number), at as u64 + 1)).collect();
            open.extend(&waits);
            pipeline.push(waits, 1, at as u32);
        }
        let mut left = drain(&mut pipeline);
        for (pick, counts) in picks {
            if open.is_empty() {
                break;
            }
            let (of, number) = open.swap_remove(pick.index(open.len()));
            if counts { pipeline.committed(of, number) } else { pipeline.discarded(of, number) }
            left.extend(drain(&mut pipeline));
            let first = open.iter().map(|&(_, number)| number as u32 - 1).min();
            prop_assert!(left.last().is_none_or(|last| first.is_none_or(|first| *last < first)));
        }
        prop_assert!(open.is_empty());
        prop_assert_eq!(left, (0..rounds.len() as u32).collect::<Vec<_>>());
        prop_assert!(pipeline.is_empty());
    }
}
