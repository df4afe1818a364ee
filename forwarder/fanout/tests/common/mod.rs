//! A small in-memory fleet: tests apply commands by direct calls.
#![allow(dead_code)]

use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;

pub const LIST: &str = "prices";

pub fn bounds() -> Bounds {
    Bounds {
        window: 2,
        slow_window: 4,
        kept_for_one: 6,
        kept_in_all: 10_000,
        broadcasts: 200,
        body_bytes: 100_000,
        room: 200,
        moves_at_once: 2,
        moves_a_minute: 4,
    }
}

pub fn layout(subscribers: u64, cohorts: u32, slow_cohorts: u32) -> Layout {
    let members = (0..subscribers).map(DestinationId).collect();
    Layout {
        lists: vec![(ListName(LIST.into()), members)],
        cohorts,
        slow_cohorts,
        bounds: bounds(),
    }
}

/// A fleet with so many cohorts for subscribers that keep up and one for slow ones, each served by its own
/// instance, from 0.
pub fn fleet(subscribers: u64, cohorts: u32) -> FanoutState {
    let mut fanout = FanoutState::default();
    fanout.apply(Command::Laid(layout(subscribers, cohorts, 1)));
    (0..=cohorts).for_each(|id| {
        drop(fanout.apply(Command::Started {
            by: InstanceId(id.into()),
            process: 1,
        }))
    });
    for command in fanout.plan() {
        fanout.apply(command);
    }
    fanout
}

pub fn broadcast(number: u64) -> Broadcast {
    Broadcast {
        id: BroadcastId(format!("b{number}")),
        list: ListName(LIST.into()),
        traffic: "prices".into(),
        at: 1000.0 * number as f64,
        patience: 10_000.0,
        key: Some(7),
        fingerprint: None,
        body: b"{}".to_vec(),
    }
}

/// Submits the broadcast with this number at the first instance, under submission numbers that were not
/// decided before.
pub fn submit_broadcast(fanout: &mut FanoutState, number: u64) -> Vec<Effect> {
    let by = InstanceId(0);
    let submission = |n: u64| Command::Taken {
        by,
        process: 1,
        number: n,
        broadcast: broadcast(number),
    };
    let submissions = (0..).map(|retry| submission(number * 8 + retry));
    submissions
        .map(|command| fanout.apply(command))
        .find(|effects| !effects.is_empty())
        .unwrap_or_default()
}

/// The copies that the instance was assigned to deliver.
pub fn copies_to_deliver(effects: &[Effect], by: InstanceId) -> Vec<(Subscriber, Position)> {
    let copies = effects.iter().filter_map(|n| match n {
        Effect::Assigned {
            to,
            subscriber,
            position,
            end: None,
            ..
        } if *to == by => Some((*subscriber, *position)),
        _ => None,
    });
    copies.collect()
}

/// The copies whose outcome the instance was assigned to report.
pub fn outcomes_to_report(
    effects: &[Effect],
    by: InstanceId,
) -> Vec<(Subscriber, Position, Outcome)> {
    let copies = effects.iter().filter_map(|n| match n {
        Effect::Assigned {
            to,
            subscriber,
            position,
            end: Some(end),
            ..
        } if *to == by => Some((*subscriber, *position, *end)),
        _ => None,
    });
    copies.collect()
}

pub fn end(copy: (Subscriber, Position), own: f64) -> CopyEnd {
    let (subscriber, position) = copy;
    CopyEnd {
        subscriber,
        position,
        outcome: Outcome::Completed,
        waited: 1.0,
        own,
    }
}

/// One broadcast that all subscribers complete, each in the time `own`; then a tick.
pub fn round(fanout: &mut FanoutState, number: u64, own: impl Fn(Subscriber, InstanceId) -> f64) {
    submit_broadcast(fanout, number);
    let instances: Vec<InstanceId> = fanout.known_instances().collect();
    for by in instances {
        let effects = fanout.apply(Command::Spread {
            by,
            process: 1,
            ticket: number,
        });
        let ends = copies_to_deliver(&effects, by)
            .into_iter()
            .map(|copy| end(copy, own(copy.0, by)))
            .collect();
        fanout.apply(Command::Ended {
            by,
            process: 1,
            ends,
        });
    }
    fanout.apply(Command::Tick);
}
