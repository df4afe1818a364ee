//! Changes between revisions of the tables, and their application by a subscriber.

mod common;

use std::sync::Arc;
use std::time::Instant;

use common::{any_tables, tables};
use plankhill_protocol::feed::ToSubscriber;
use plankhill_protocol::feed_position::FeedPosition;
use plankhill_protocol::ids::Revision;
use plankhill_protocol::subscription::{Progress, Step};
use plankhill_protocol::tables::{Tables, TablesUpdate};

#[test]
fn changes_lead_from_any_tables_to_any_later_ones() {
    arbtest::arbtest(|draw| {
        let (older, newer) = (any_tables(draw, 3)?, any_tables(draw, 4)?);
        let mut applied = older.clone();
        let changes = newer.changes_since(&older);
        assert_eq!(
            applied.apply(TablesUpdate::Changes {
                from: Revision(3),
                to: Revision(4),
                changes
            }),
            Ok(())
        );
        assert_eq!(applied, newer);
        Ok(())
    });
}

#[test]
fn equal_tables_need_no_changes() {
    arbtest::arbtest(|draw| {
        let one = any_tables(draw, 3)?;
        assert_eq!(one.changes_since(&one), Vec::new());
        Ok(())
    });
}

/// A subscriber switches between feeders at different revisions of one history, over connections
/// that fail after any message. Its tables always equal a revision of the history, and the revision
/// never decreases.
#[test]
fn a_subscribers_revision_never_decreases_and_reaches_the_newest() {
    arbtest::arbtest(|draw| {
        let mut history = vec![Arc::new(Tables::default())];
        for revision in 1..=8 {
            history.push(Arc::new(any_tables(draw, revision)?));
        }
        let mut applied = Arc::new(Tables::default());
        for _ in 0..draw.int_in_range(0..=6)? {
            let mut feeder = draw.int_in_range(0..=history.len() - 1)?;
            let mut position = FeedPosition::Claimed(applied.revision);
            let mut progress = Progress::default();
            while feeder < history.len() && draw.ratio(3, 4)? {
                let before = applied.revision;
                deliver(&mut position, &mut progress, &history[feeder], &mut applied);
                assert!(applied.revision >= before);
                assert_eq!(applied, history[applied.revision.0 as usize]);
                feeder += draw.int_in_range(1..=3)?;
            }
        }
        let (mut position, mut progress) =
            (FeedPosition::Claimed(applied.revision), Progress::default());
        deliver(&mut position, &mut progress, &history[8], &mut applied);
        assert_eq!(applied, history[8]);
        Ok(())
    });
}

fn deliver(
    position: &mut FeedPosition,
    progress: &mut Progress,
    newest: &Arc<Tables>,
    applied: &mut Arc<Tables>,
) {
    if let Some(update) = position.advance_to(newest) {
        assert_ne!(
            progress.on_message(ToSubscriber::Update(update), applied, Instant::now()),
            Step::RequestSnapshot
        );
    }
}

#[test]
fn a_revision_gap_causes_one_snapshot_request() {
    let mut applied = Arc::new(tables(3));
    let mut progress = Progress::default();
    let gap = TablesUpdate::Changes {
        from: Revision(4),
        to: Revision(5),
        changes: Vec::new(),
    };
    let step = progress.on_message(
        ToSubscriber::Update(gap.clone()),
        &mut applied,
        Instant::now(),
    );
    assert_eq!(step, Step::RequestSnapshot);
    assert_eq!(
        progress.on_message(ToSubscriber::Update(gap), &mut applied, Instant::now()),
        Step::Unconfirmed
    );
    let snapshot = ToSubscriber::Update(TablesUpdate::Snapshot(tables(5)));
    assert_eq!(
        progress.on_message(snapshot, &mut applied, Instant::now()),
        Step::Changed
    );
    assert_eq!(applied.revision, Revision(5));
}

#[test]
fn a_heartbeat_ahead_of_the_tables_causes_a_snapshot_request() {
    let mut applied = Arc::new(tables(3));
    let ahead = ToSubscriber::Heartbeat {
        revision: Revision(4),
        current: true,
    };
    assert_eq!(
        Progress::default().on_message(ahead, &mut applied, Instant::now()),
        Step::RequestSnapshot
    );
}

/// A feeder that answers snapshot requests with inapplicable updates must not block the subscriber
/// forever.
#[test]
fn a_missing_snapshot_causes_a_reconnect() {
    let mut applied = Arc::new(tables(3));
    let mut progress = Progress::default();
    let gap = TablesUpdate::Changes {
        from: Revision(0),
        to: Revision(5),
        changes: Vec::new(),
    };
    let heartbeat = ToSubscriber::Heartbeat {
        revision: Revision(5),
        current: true,
    };
    let step = progress.on_message(
        ToSubscriber::Update(gap.clone()),
        &mut applied,
        Instant::now(),
    );
    assert_eq!(step, Step::RequestSnapshot);
    let mut steps = Vec::new();
    for _ in 0..3 {
        progress.on_message(
            ToSubscriber::Update(gap.clone()),
            &mut applied,
            Instant::now(),
        );
        steps.push(progress.on_message(heartbeat.clone(), &mut applied, Instant::now()));
    }
    assert_eq!(
        steps,
        [Step::Unconfirmed, Step::Unconfirmed, Step::Reconnect]
    );
}

#[test]
fn only_a_current_heartbeat_at_the_same_revision_confirms() {
    let mut applied = Arc::new(tables(3));
    let mut progress = Progress::default();
    let heartbeat = |revision, current| ToSubscriber::Heartbeat {
        revision: Revision(revision),
        current,
    };
    assert_eq!(
        progress.on_message(heartbeat(3, true), &mut applied, Instant::now()),
        Step::Confirmed
    );
    assert_eq!(
        progress.on_message(heartbeat(3, false), &mut applied, Instant::now()),
        Step::NotCurrent
    );
}

#[test]
fn a_feeder_that_stays_behind_is_not_current() {
    let mut applied = Arc::new(tables(3));
    let mut progress = Progress::default();
    let behind = ToSubscriber::Heartbeat {
        revision: Revision(2),
        current: true,
    };
    assert_eq!(
        progress.on_message(behind.clone(), &mut applied, Instant::now()),
        Step::Unconfirmed
    );
    assert_eq!(
        progress.on_message(behind, &mut applied, Instant::now()),
        Step::NotCurrent
    );
}
