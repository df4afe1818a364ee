//! A subscriber whose updates come from the home of its zone, in virtual time: whatever the home
//! does, it holds each revision within a bound of its commit.

mod common;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use common::{any_tables, tables};
use plankhill_protocol::feed::{FromSubscriber, ToSubscriber};
use plankhill_protocol::feed_position::FeedPosition;
use plankhill_protocol::ids::Revision;
use plankhill_protocol::subscription::{Progress, Step, MAX_HOME_LAG};
use plankhill_protocol::tables::{Tables, TablesUpdate};

/// The longest way from one machine to another, in steps of a millisecond.
const MAX_DELAY_STEPS: usize = 20;
/// Steps that a simulated world lasts.
const STEPS: usize = 1_500;
/// Steps between heartbeats.
const HEARTBEAT_INTERVAL: usize = 300;

/// Announced, overdue, asked, answered; a step for each of these.
fn bound() -> usize {
    MAX_HOME_LAG.as_millis() as usize + 3 * MAX_DELAY_STEPS + 4
}

/// A connection: in order, each message after some steps.
struct Line<T> {
    under_way: VecDeque<(usize, T)>,
}

impl<T> Line<T> {
    fn new() -> Self {
        Line {
            under_way: VecDeque::new(),
        }
    }

    fn send(&mut self, arrives: usize, message: T) {
        let last = self.under_way.back().map_or(0, |(at, _)| *at);
        self.under_way.push_back((arrives.max(last), message));
    }

    fn arrived(&mut self, now: usize) -> Option<T> {
        if self.under_way.front()?.0 > now {
            return None;
        }
        self.under_way.pop_front().map(|(_, message)| message)
    }
}

/// The controller's end of the subscription.
struct Controller {
    wants_updates: bool,
    held: FeedPosition,
    announced: Revision,
    heartbeat: usize,
}

impl Controller {
    fn take(&mut self, message: FromSubscriber) {
        match message {
            FromSubscriber::HeartbeatsOnly => self.wants_updates = false,
            FromSubscriber::ResumeUpdates {
                held_revision: held,
            } => {
                (self.wants_updates, self.held, self.announced) =
                    (true, FeedPosition::Claimed(held), held);
            }
            FromSubscriber::RequestSnapshot => {
                (self.held, self.announced) = (FeedPosition::Empty, Revision(0))
            }
            other => panic!("{other:?}"),
        }
    }

    fn send(&mut self, newest: &Arc<Tables>, now: usize) -> Vec<ToSubscriber> {
        let rose = self.announced < newest.revision;
        self.announced = newest.revision;
        let update = self.held.advance_to(newest).filter(|_| self.wants_updates);
        if !rose && update.is_none() && now < self.heartbeat {
            return Vec::new();
        }
        self.heartbeat = now + HEARTBEAT_INTERVAL;
        let heartbeat = ToSubscriber::Heartbeat {
            revision: newest.revision,
            current: true,
        };
        update
            .map(ToSubscriber::Update)
            .into_iter()
            .chain([heartbeat])
            .collect()
    }
}

/// Runs one world; the home takes nothing in after `fails`.
fn play(draw: &mut Unstructured<'_>, fails: usize) -> Result<()> {
    let begin = Instant::now();
    let mut history = vec![Arc::new(tables(0))];
    let mut committed_at = vec![0];
    let mut controller = Controller {
        wants_updates: true,
        held: FeedPosition::Empty,
        announced: Revision(0),
        heartbeat: 0,
    };
    let (mut down, mut up, mut side) = (Line::new(), Line::new(), Line::new());
    let mut home = Arc::new(tables(0));
    let mut to_home = Line::new();
    let mut progress = Progress::default();
    let mut held = Arc::new(tables(0));
    for now in 0..STEPS {
        let instant = begin + Duration::from_millis(now as u64);
        let later = |draw: &mut Unstructured<'_>| Ok(now + draw.int_in_range(1..=MAX_DELAY_STEPS)?);
        if draw.ratio(1, 60)? {
            let newest = Arc::new(any_tables(draw, history.len() as u64)?);
            to_home.send(later(draw)?, newest.clone());
            history.push(newest);
            committed_at.push(now);
        }
        while let Some(message) = up.arrived(now) {
            controller.take(message);
        }
        for message in controller.send(history.last().unwrap(), now) {
            down.send(later(draw)?, message);
        }
        while let Some(newest) = to_home.arrived(now).filter(|_| now < fails) {
            home = newest;
            side.send(later(draw)?, home.clone());
        }
        let before = held.revision;
        while let Some(message) = down.arrived(now) {
            if progress.on_message(message, &mut held, instant) == Step::RequestSnapshot {
                up.send(later(draw)?, FromSubscriber::RequestSnapshot);
            }
        }
        while let Some(offered) = side.arrived(now) {
            progress.on_offer(offered, &mut held);
        }
        if progress
            .home_deadline()
            .is_some_and(|overdue| overdue <= instant)
        {
            let message = progress.follow_feeder(held.revision);
            up.send(later(draw)?, message.unwrap());
        }
        if home.revision >= held.revision && draw.ratio(1, 100)? {
            if let Some(message) = progress.follow_home(held.revision) {
                up.send(later(draw)?, message);
            }
        }
        assert!(held.revision >= before, "went back");
        assert_eq!(
            held, history[held.revision.0 as usize],
            "holds what never was"
        );
        let due = committed_at
            .iter()
            .rposition(|at| at + bound() <= now)
            .unwrap_or(0);
        assert!(
            held.revision.0 as usize >= due,
            "at {now}: holds {:?}, due {due}",
            held.revision
        );
    }
    Ok(())
}

#[test]
fn a_healthy_home_delivers_every_revision_within_the_bound() {
    arbtest::arbtest(|draw| play(draw, usize::MAX))
        .size_min(1 << 14)
        .size_max(1 << 17)
        .budget_ms(2_000);
}

#[test]
fn a_home_that_crashes_at_any_moment_delays_no_revision_beyond_the_bound() {
    arbtest::arbtest(|draw| {
        let fails = draw.int_in_range(0..=STEPS)?;
        play(draw, fails)
    })
    .size_min(1 << 14)
    .size_max(1 << 17)
    .budget_ms(2_000);
}

#[test]
fn offers_are_applied_only_while_the_home_is_followed() {
    let mut held = Arc::new(tables(1));
    let mut progress = Progress::default();
    assert_eq!(
        progress.on_offer(Arc::new(tables(2)), &mut held),
        Step::Unconfirmed
    );
    progress.follow_home(held.revision);
    assert_eq!(
        progress.on_offer(Arc::new(tables(2)), &mut held),
        Step::Changed
    );
    assert_eq!(
        progress.on_offer(Arc::new(tables(1)), &mut held),
        Step::Unconfirmed
    );
    assert_eq!(held.revision, Revision(2));
}

#[test]
fn a_home_that_catches_up_in_time_stays_followed() {
    let (mut held, now) = (Arc::new(tables(1)), Instant::now());
    let mut progress = Progress::default();
    progress.follow_home(held.revision);
    let announced = ToSubscriber::Heartbeat {
        revision: Revision(3),
        current: true,
    };
    assert_eq!(
        progress.on_message(announced, &mut held, now),
        Step::Unconfirmed
    );
    assert_eq!(progress.home_deadline(), Some(now + MAX_HOME_LAG));
    progress.on_offer(Arc::new(tables(2)), &mut held);
    assert_eq!(progress.home_deadline(), Some(now + MAX_HOME_LAG));
    progress.on_offer(Arc::new(tables(3)), &mut held);
    assert_eq!(progress.home_deadline(), None);
}

#[test]
fn a_feeder_resumes_updates_from_the_subscribers_revision() {
    let mut held = Arc::new(tables(3));
    let mut progress = Progress::default();
    assert_eq!(progress.follow_feeder(held.revision), None);
    progress.follow_home(held.revision);
    assert_eq!(
        progress.follow_feeder(held.revision),
        Some(FromSubscriber::ResumeUpdates {
            held_revision: Revision(3)
        })
    );
    let (from, to) = (Revision(3), Revision(4));
    let update = ToSubscriber::Update(TablesUpdate::Changes {
        from,
        to,
        changes: Vec::new(),
    });
    assert_eq!(
        progress.on_message(update, &mut held, Instant::now()),
        Step::Changed
    );
}
