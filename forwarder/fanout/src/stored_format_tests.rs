//! Pins the encoding of the state's snapshot, with a value that is not the default in every field.

use crate::bounds::Bounds;
use crate::command::{Broadcast, Outcome};
use crate::detect::Sample;
use crate::instances::Instance;
use crate::names::*;
use crate::state::{CohortState, FanoutState, PendingBroadcast, PendingCopy, SubscriberState};
use crate::verdict::{Figures, Judged, Verdict};
use crate::votes::Votes;

const PINNED: &str = include_str!("../tests/stored_format/values.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn votes(own: f64) -> Votes {
    let mut votes = Votes::default();
    votes.add(301, true, own, 2.5);
    votes.add(302, false, own + 1.0, 3.5);
    votes
}

fn figures() -> Figures {
    Figures {
        at: InstanceId(1 << 50),
        votes: 3.5,
        late: 0.5,
        own: 120.25,
        cohort: Some(60.5),
        others: Some(61.5),
    }
}

fn subscriber_state(judged: Judged, outcome: Outcome) -> SubscriberState {
    let pending = |position, at, end, sampled| PendingCopy {
        position: Position(position),
        at,
        end,
        sampled,
    };
    SubscriberState {
        cohort: Cohort(2),
        is_listed: true,
        queued: [Position(303), Position(304)].into(),
        pending: vec![
            pending(301, Some(InstanceId(1 << 50)), None, true),
            pending(302, None, Some(outcome), false),
        ],
        rests: [InstanceId(7)].into(),
        votes: [(InstanceId(1 << 50), votes(100.0))].into(),
        verdict: Verdict {
            judged,
            since: 299,
            good_ticks: 31,
            recoveries: 2,
            confirmed: true,
        },
    }
}

/// The fields of `Sample` are private to its module: the value is decoded from bytes and checked by its debug
/// output.
fn sample() -> Sample {
    let bytes = postcard::to_stdvec(&(2u64, 90.5f64, 4.5f64)).unwrap();
    let sample: Sample = postcard::from_bytes(&bytes).unwrap();
    let seen = format!("{sample:?}");
    assert!(
        seen.contains("DestinationId(2)")
            && seen.contains("own: 90.5")
            && seen.contains("waited: 4.5"),
        "{seen}"
    );
    sample
}

fn state() -> FanoutState {
    let subscriber = plankhill_decisions::interface::DestinationId;
    let broadcast = Broadcast {
        id: BroadcastId("b-1".into()),
        list: ListName("news".into()),
        traffic: "invoices".into(),
        at: 1_764_000_000_000.5,
        patience: 600_000.25,
        key: Some(9),
        fingerprint: Some("f".into()),
        body: vec![1, 2, 3],
    };
    let bounds = Bounds {
        window: 4,
        slow_window: 2,
        kept_for_one: 300,
        kept_in_all: 70_000,
        broadcasts: 100,
        body_bytes: 1 << 20,
        room: 500,
        moves_at_once: 3,
        moves_a_minute: 6,
    };
    let judged = [
        Judged::KeepsUp,
        Judged::Slow(figures()),
        Judged::Route(figures()),
    ];
    let ends = [Outcome::Completed, Outcome::Rejected, Outcome::Abandoned];
    let subscribers = judged.into_iter().zip(ends).map(|(judged, end)| {
        let number = match judged {
            Judged::KeepsUp => 1,
            Judged::Slow(_) => 2,
            Judged::Route(_) => 3,
        };
        (subscriber(number), subscriber_state(judged, end))
    });
    let instance = Instance {
        process: 4,
        decided_submissions: [12, 14].into(),
        floor: 11,
        lost: true,
        times_lost: 5,
        held: 6,
        votes: votes(200.0),
        at_fault: true,
        batch: vec![sample()],
        since: 298,
    };
    FanoutState {
        bounds,
        lists: [(
            ListName("news".into()),
            vec![subscriber(1), subscriber(2), subscriber(3)],
        )]
        .into(),
        cohorts: [(
            Cohort(2),
            CohortState {
                slow: true,
                by: Some(InstanceId(1 << 50)),
                epoch: 8,
                members: [subscriber(1), subscriber(2), subscriber(3)].into(),
            },
        )]
        .into(),
        instances: [(InstanceId(1 << 50), instance)].into(),
        subscribers: subscribers.collect(),
        pending_broadcasts: [(
            Position(301),
            PendingBroadcast {
                broadcast,
                open: 3,
                outcomes: [4, 5, 6],
            },
        )]
        .into(),
        known: [(BroadcastId("b-1".into()), Position(301))].into(),
        completed_ids: [BroadcastId("b-0".into())].into(),
        completed_id_set: [BroadcastId("b-0".into())].into(),
        last: Position(304),
        copies: 12,
        body_bytes: 13,
        tick: 305,
        moving: [subscriber(3)].into(),
        move_ticks: [300, 302].into(),
    }
}

#[test]
fn a_snapshot_is_written_and_read_as_pinned() {
    assert_eq!(state().to_bytes(), pinned("State"));
    assert_eq!(FanoutState::from_bytes(&pinned("State")), Some(state()));
    assert_eq!(FanoutState::default().to_bytes(), pinned("EmptyState"));
    assert_eq!(
        FanoutState::from_bytes(&pinned("EmptyState")),
        Some(FanoutState::default())
    );
}
