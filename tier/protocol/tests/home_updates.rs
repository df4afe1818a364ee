//! Simulates, in virtual time, a subscriber that receives updates from the home of its zone. Even
//! if the home fails, the subscriber has each revision within a bound after its commit.

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

/// Maximum delay of a message between two machines, in steps of one millisecond.
const MAX_DELAY_STEPS: usize = 20;
/// Duration of a simulation, in steps.
const STEPS: usize = 1_500;
/// Interval between heartbeats, in steps.
const HEARTBEAT_INTERVAL: usize = 300;

/// The maximum number of steps between a commit and its arrival: the revision is announced, becomes
/// overdue, is requested from the controller and is sent, with one additional step for each of
/// these.
fn bound() -> usize {
    MAX_HOME_LAG.as_millis() as usize + 3 * MAX_DELAY_STEPS + 4
}

/// A connection that delivers messages in order, each after a delay.
struct SimulatedConnection<T> {
    in_flight: VecDeque<(usize, T)>,
}

impl<T> SimulatedConnection<T> {
    fn new() -> Self {
        SimulatedConnection {
            in_flight: VecDeque::new(),
        }
    }

    fn send(&mut self, arrival: usize, message: T) {
        let last = self.in_flight.back().map_or(0, |(at, _)| *at);
        self.in_flight.push_back((arrival.max(last), message));
    }

    fn next_arrived(&mut self, now: usize) -> Option<T> {
        if self.in_flight.front()?.0 > now {
            return None;
        }
        self.in_flight.pop_front().map(|(_, message)| message)
    }
}

/// The controller's side of the subscription.
struct Controller {
    wants_updates: bool,
    position: FeedPosition,
    announced: Revision,
    next_heartbeat: usize,
}

impl Controller {
    fn on_message(&mut self, message: FromSubscriber) {
        match message {
            FromSubscriber::HeartbeatsOnly => self.wants_updates = false,
            FromSubscriber::ResumeUpdates {
                held_revision: revision,
            } => {
                (self.wants_updates, self.position, self.announced) =
                    (true, FeedPosition::Claimed(revision), revision);
            }
            FromSubscriber::RequestSnapshot => {
                (self.position, self.announced) = (FeedPosition::Empty, Revision(0))
            }
            other => panic!("{other:?}"),
        }
    }

    fn send(&mut self, newest: &Arc<Tables>, now: usize) -> Vec<ToSubscriber> {
        let has_new_revision = self.announced < newest.revision;
        self.announced = newest.revision;
        let update = self
            .position
            .advance_to(newest)
            .filter(|_| self.wants_updates);
        if !has_new_revision && update.is_none() && now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
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

/// Runs one simulation, in which the home receives nothing from step `fails_at` on.
fn simulate(draw: &mut Unstructured<'_>, fails_at: usize) -> Result<()> {
    let start = Instant::now();
    let mut history = vec![Arc::new(tables(0))];
    let mut committed_at = vec![0];
    let mut controller = Controller {
        wants_updates: true,
        position: FeedPosition::Empty,
        announced: Revision(0),
        next_heartbeat: 0,
    };
    let (mut to_subscriber, mut to_controller, mut home_to_subscriber) = (
        SimulatedConnection::new(),
        SimulatedConnection::new(),
        SimulatedConnection::new(),
    );
    let mut home = Arc::new(tables(0));
    let mut to_home = SimulatedConnection::new();
    let mut progress = Progress::default();
    let mut applied = Arc::new(tables(0));
    for now in 0..STEPS {
        let instant = start + Duration::from_millis(now as u64);
        let arrival_step =
            |draw: &mut Unstructured<'_>| Ok(now + draw.int_in_range(1..=MAX_DELAY_STEPS)?);
        if draw.ratio(1, 60)? {
            let newest = Arc::new(any_tables(draw, history.len() as u64)?);
            to_home.send(arrival_step(draw)?, newest.clone());
            history.push(newest);
            committed_at.push(now);
        }
        while let Some(message) = to_controller.next_arrived(now) {
            controller.on_message(message);
        }
        for message in controller.send(history.last().unwrap(), now) {
            to_subscriber.send(arrival_step(draw)?, message);
        }
        while let Some(newest) = to_home.next_arrived(now).filter(|_| now < fails_at) {
            home = newest;
            home_to_subscriber.send(arrival_step(draw)?, home.clone());
        }
        let before = applied.revision;
        while let Some(message) = to_subscriber.next_arrived(now) {
            if progress.on_message(message, &mut applied, instant) == Step::RequestSnapshot {
                to_controller.send(arrival_step(draw)?, FromSubscriber::RequestSnapshot);
            }
        }
        while let Some(offered) = home_to_subscriber.next_arrived(now) {
            progress.on_offer(offered, &mut applied);
        }
        if progress
            .home_deadline()
            .is_some_and(|deadline| deadline <= instant)
        {
            let message = progress.follow_feeder(applied.revision);
            to_controller.send(arrival_step(draw)?, message.unwrap());
        }
        if home.revision >= applied.revision && draw.ratio(1, 100)? {
            if let Some(message) = progress.follow_home(applied.revision) {
                to_controller.send(arrival_step(draw)?, message);
            }
        }
        assert!(applied.revision >= before, "the revision decreased");
        assert_eq!(
            applied, history[applied.revision.0 as usize],
            "the tables differ from the committed ones"
        );
        let due = committed_at
            .iter()
            .rposition(|at| at + bound() <= now)
            .unwrap_or(0);
        assert!(
            applied.revision.0 as usize >= due,
            "at step {now}: the revision is {:?}, expected at least {due}",
            applied.revision
        );
    }
    Ok(())
}

#[test]
fn a_healthy_home_delivers_every_revision_within_the_bound() {
    arbtest::arbtest(|draw| simulate(draw, usize::MAX))
        .size_min(1 << 14)
        .size_max(1 << 17)
        .budget_ms(2_000);
}

#[test]
fn a_home_that_crashes_at_any_moment_delays_no_revision_beyond_the_bound() {
    arbtest::arbtest(|draw| {
        let fails_at = draw.int_in_range(0..=STEPS)?;
        simulate(draw, fails_at)
    })
    .size_min(1 << 14)
    .size_max(1 << 17)
    .budget_ms(2_000);
}

#[test]
fn offers_are_applied_only_while_the_home_is_followed() {
    let mut applied = Arc::new(tables(1));
    let mut progress = Progress::default();
    assert_eq!(
        progress.on_offer(Arc::new(tables(2)), &mut applied),
        Step::Unconfirmed
    );
    progress.follow_home(applied.revision);
    assert_eq!(
        progress.on_offer(Arc::new(tables(2)), &mut applied),
        Step::Changed
    );
    assert_eq!(
        progress.on_offer(Arc::new(tables(1)), &mut applied),
        Step::Unconfirmed
    );
    assert_eq!(applied.revision, Revision(2));
}

#[test]
fn a_home_that_catches_up_in_time_stays_followed() {
    let (mut applied, now) = (Arc::new(tables(1)), Instant::now());
    let mut progress = Progress::default();
    progress.follow_home(applied.revision);
    let announced = ToSubscriber::Heartbeat {
        revision: Revision(3),
        current: true,
    };
    assert_eq!(
        progress.on_message(announced, &mut applied, now),
        Step::Unconfirmed
    );
    assert_eq!(progress.home_deadline(), Some(now + MAX_HOME_LAG));
    progress.on_offer(Arc::new(tables(2)), &mut applied);
    assert_eq!(progress.home_deadline(), Some(now + MAX_HOME_LAG));
    progress.on_offer(Arc::new(tables(3)), &mut applied);
    assert_eq!(progress.home_deadline(), None);
}

#[test]
fn a_feeder_resumes_updates_from_the_subscribers_revision() {
    let mut applied = Arc::new(tables(3));
    let mut progress = Progress::default();
    assert_eq!(progress.follow_feeder(applied.revision), None);
    progress.follow_home(applied.revision);
    assert_eq!(
        progress.follow_feeder(applied.revision),
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
        progress.on_message(update, &mut applied, Instant::now()),
        Step::Changed
    );
}
