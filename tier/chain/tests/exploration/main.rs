//! Exhaustive model checking of small chains of the real [`plankhill_chain::ChainMember`], with
//! every order of messages, message loss, crashes between two writes, lost disks, and missing
//! heartbeats of any members.
//!
//! Time advances only in `Step::AdvanceClock`, at one member, far enough for every peer without a
//! heartbeat to count as failed and for all pending deadlines of the member to be due. States are
//! compared by ages instead of absolute times, so that equal states recur. `EXPLORE=large` selects
//! the larger bounds; `docs/system/hardening.md` lists the number of states and the run time in
//! seconds.

mod explore;
mod history;
mod initial_states;
mod node;
mod steps;
mod system;

use explore::{assert_nearby_violation_found, assert_no_violation, assert_violation_found};
use initial_states::InitialState;
use plankhill_chain::PlantedBug;
use steps::Bounds;
use system::Defect;

/// Small bounds: three healthy members, and one clock advance at the head, which receives
/// heartbeats from any non-empty subset of the others.
const SMALL: Bounds = Bounds {
    machines: 3,
    initial_state: InitialState::Healthy,
    operations: 0,
    reads: 0,
    clock_advances: 1,
    faulty: 1,
    crashes: 0,
    lost_disks: 0,
    lost_messages: 0,
    defect: None,
};

fn uses_large_bounds() -> bool {
    std::env::var("EXPLORE").is_ok_and(|bounds| bounds == "large")
}

#[test]
fn an_attempt_during_an_operation_keeps_all_invariants() {
    assert_no_violation(Bounds {
        operations: 1,
        ..SMALL
    });
}

#[test]
fn an_attempt_and_a_crash_keep_all_invariants() {
    assert_no_violation(Bounds {
        crashes: 1,
        ..SMALL
    });
}

#[test]
fn a_read_at_a_former_tail_keeps_all_invariants() {
    assert_no_violation(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        operations: 1,
        reads: 1,
        clock_advances: 0,
        ..SMALL
    });
    if uses_large_bounds() {
        assert_no_violation(Bounds {
            operations: 1,
            reads: 1,
            ..SMALL
        });
    }
}

/// The second member proposes a view while only the head has learned the decided one.
#[test]
fn two_dueling_proposers_keep_all_invariants() {
    assert_no_violation(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        faulty: 2,
        ..SMALL
    });
    if uses_large_bounds() {
        assert_no_violation(Bounds {
            initial_state: InitialState::OnlyHeadLearnedDecision,
            faulty: 2,
            crashes: 1,
            ..SMALL
        });
        assert_no_violation(Bounds {
            clock_advances: 2,
            faulty: 2,
            ..SMALL
        });
    }
}

#[test]
fn a_proposer_that_crashes_before_its_promise_is_synced_keeps_all_invariants() {
    let bounds = Bounds {
        initial_state: InitialState::HeadAwaitsOwnPromise,
        crashes: 1,
        ..SMALL
    };
    assert_no_violation(bounds);
    if uses_large_bounds() {
        assert_no_violation(Bounds {
            lost_messages: 2,
            ..bounds
        });
    }
}

#[test]
fn a_machine_that_joins_with_a_new_disk_keeps_all_invariants() {
    assert_no_violation(Bounds {
        initial_state: InitialState::DiskReplaced,
        operations: 1,
        ..SMALL
    });
}

#[test]
fn a_lost_disk_keeps_all_invariants() {
    assert_no_violation(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        faulty: 2,
        lost_disks: 1,
        ..SMALL
    });
}

#[test]
fn four_machines_keep_all_invariants() {
    assert_no_violation(Bounds {
        machines: 4,
        ..SMALL
    });
    if uses_large_bounds() {
        assert_no_violation(Bounds {
            machines: 4,
            operations: 1,
            ..SMALL
        });
    }
}

#[test]
fn forgotten_accepted_views_are_found() {
    assert_violation_found(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        faulty: 2,
        defect: Some(Defect::Planted(PlantedBug::AcceptedViewForgotten)),
        ..SMALL
    });
}

#[test]
fn a_base_that_is_too_high_is_found() {
    assert_violation_found(Bounds {
        operations: 1,
        defect: Some(Defect::Planted(PlantedBug::BaseTooHigh)),
        ..SMALL
    });
}

#[test]
fn a_base_that_is_too_low_is_found() {
    assert_violation_found(Bounds {
        operations: 1,
        defect: Some(Defect::Planted(PlantedBug::BaseTooLow)),
        ..SMALL
    });
}

#[test]
fn a_sealed_member_that_takes_operations_is_found() {
    assert_violation_found(Bounds {
        operations: 1,
        defect: Some(Defect::Planted(PlantedBug::SealIgnored)),
        ..SMALL
    });
}

#[test]
fn a_read_quorum_that_is_too_small_is_found() {
    assert_violation_found(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        operations: 1,
        reads: 1,
        clock_advances: 0,
        defect: Some(Defect::Planted(PlantedBug::ReadQuorumTooSmall)),
        ..SMALL
    });
}

#[test]
fn a_ballot_that_is_used_twice_is_found() {
    assert_nearby_violation_found(Bounds {
        initial_state: InitialState::HeadAwaitsOwnPromise,
        clock_advances: 2,
        crashes: 1,
        lost_messages: 2,
        defect: Some(Defect::Planted(PlantedBug::OwnPromiseNotAwaited)),
        ..SMALL
    });
}

#[test]
fn promises_that_were_not_synced_are_found() {
    assert_violation_found(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        faulty: 2,
        crashes: 1,
        defect: Some(Defect::PromiseUnsynced),
        ..SMALL
    });
}

#[test]
fn votes_of_a_lost_disk_are_found() {
    assert_violation_found(Bounds {
        initial_state: InitialState::OnlyHeadLearnedDecision,
        faulty: 2,
        lost_disks: 1,
        defect: Some(Defect::LostDiskVotes),
        ..SMALL
    });
}

#[test]
fn a_chain_that_is_too_short_is_found() {
    assert_violation_found(Bounds {
        operations: 1,
        clock_advances: 2,
        defect: Some(Defect::ChainTooShort),
        ..SMALL
    });
}
