//! Pins the encoding of every command of the control group's log.

use plankhill_decisions::interface::DestinationId;
use plankhill_fanout::*;

const PINNED: &str = include_str!("stored_format/values.txt");

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

const ME: InstanceId = InstanceId(1 << 50);
const SUBSCRIBER: Subscriber = DestinationId(300);

fn broadcast() -> Broadcast {
    Broadcast {
        id: BroadcastId("b-1".into()),
        list: ListName("news".into()),
        traffic: "invoices".into(),
        at: 1_764_000_000_000.5,
        patience: 600_000.25,
        key: Some(9),
        fingerprint: Some("f".into()),
        body: vec![1, 2, 3],
    }
}

fn layout() -> Layout {
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
    let lists = vec![(ListName("news".into()), vec![SUBSCRIBER, DestinationId(7)])];
    Layout {
        lists,
        cohorts: 6,
        slow_cohorts: 2,
        bounds,
    }
}

fn ends() -> Vec<CopyEnd> {
    let outcomes = [Outcome::Completed, Outcome::Rejected, Outcome::Abandoned];
    let ends = outcomes.into_iter().map(|outcome| {
        let position = match outcome {
            Outcome::Completed => Position(301),
            Outcome::Rejected => Position(302),
            Outcome::Abandoned => Position(303),
        };
        CopyEnd {
            subscriber: SUBSCRIBER,
            position,
            outcome,
            waited: 2.5,
            own: 120.25,
        }
    });
    ends.collect()
}

#[test]
fn every_command_is_as_pinned() {
    let bare = Broadcast {
        key: None,
        fingerprint: None,
        ..broadcast()
    };
    let all = [
        Command::Laid(layout()),
        Command::Started { by: ME, process: 4 },
        Command::Joined(ME),
        Command::Lost(ME),
        Command::Taken {
            by: ME,
            process: 4,
            number: 300,
            broadcast: broadcast(),
        },
        Command::Barred {
            by: ME,
            process: 4,
            number: 300,
        },
        Command::Spread {
            by: ME,
            process: 4,
            ticket: 300,
        },
        Command::Ended {
            by: ME,
            process: 4,
            ends: ends(),
        },
        Command::StillOut {
            by: ME,
            process: 4,
            copies: vec![(SUBSCRIBER, Position(301), 99.5)],
        },
        Command::Rests {
            by: ME,
            subscriber: SUBSCRIBER,
            rests: true,
        },
        Command::TimeUp(vec![Position(301), Position(5)]),
        Command::Moved {
            subscriber: SUBSCRIBER,
            from: Cohort(1),
            to: Cohort(300),
        },
        Command::Served {
            cohort: Cohort(300),
            epoch: 8,
            by: ME,
        },
        Command::GivenUp {
            instance: ME,
            time: 5,
        },
        Command::Tick,
    ];
    for command in all {
        let name = match &command {
            Command::Laid(_) => "Laid",
            Command::Started { .. } => "Started",
            Command::Joined(_) => "Joined",
            Command::Lost(_) => "Lost",
            Command::Taken { .. } => "Taken",
            Command::Barred { .. } => "Barred",
            Command::Spread { .. } => "Spread",
            Command::Ended { .. } => "Ended",
            Command::StillOut { .. } => "StillOut",
            Command::Rests { .. } => "Rests",
            Command::TimeUp(_) => "TimeUp",
            Command::Moved { .. } => "Moved",
            Command::Served { .. } => "Served",
            Command::GivenUp { .. } => "GivenUp",
            Command::Tick => "Tick",
        };
        check(name, command);
    }
    check(
        "TakenBare",
        Command::Taken {
            by: ME,
            process: 4,
            number: 300,
            broadcast: bare,
        },
    );
}

fn check(name: &str, command: Command) {
    assert_eq!(command.to_bytes(), pinned(name), "{name}");
    assert_eq!(Command::from_bytes(&pinned(name)), Some(command), "{name}");
}

/// A copy's id is made of its broadcast and its subscriber: clients see it, and the event log stores it.
#[test]
fn the_format_of_copy_ids_is_pinned() {
    let id = copy_id(&BroadcastId("b-1".into()), SUBSCRIBER);
    assert_eq!(&*id.0, "b-1~300");
    assert_eq!(copy_of(&id), Some((BroadcastId("b-1".into()), SUBSCRIBER)));
}
