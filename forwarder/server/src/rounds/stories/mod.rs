//! Stories of the decisions where copies are kept: the groups are a stand-in that answers when the story
//! says so, the target is one on a socket.

mod committing;
mod config;
mod groups;
#[path = "../../../tests/peers/held.rs"]
#[allow(dead_code)]
mod held;
mod inheriting;
#[path = "../../../tests/peers/stand_ins.rs"]
#[allow(dead_code)]
mod stand_ins;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver as Calls, TryRecvError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use plankhill_decisions::interface::*;
use plankhill_event_log::{AcceptedEvent, EventLog, EventTable};
use plankhill_hot_restart::{Event, Verdict};
use plankhill_raft_groups::{
    GroupEvent, GroupId, GroupRequest, Incarnation, Purpose, StateMachine, Term,
};
use plankhill_replication::state_machine::{decode_command, encode_command};
use plankhill_replication::LocalReplicas;

use self::config::config;
use self::groups::{others, own, StandIn};
use self::stand_ins::Asked;
use super::Rounds;
use crate::clock::Clock;
use crate::common::tests::{quiet, told};
use crate::common::Common;
use crate::ground::{Fleet, Ground};
use crate::left_out::LeftOut;
use crate::mail::{CameIn, Handed, Notice};

const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const JOB: usize = 0;
const CHARGE: usize = 1;
const STALL: Ms = 50.0;
#[allow(dead_code)] // of the part of `held` that the stories on sockets use
const LONG: Duration = Duration::from_secs(30);

struct Story {
    executor: Rc<LocalExecutor<'static>>,
    fleet: StandIn,
    to_rounds: Sender<CameIn>,
    notices: Receiver<Notice>,
    calls: Calls<Asked>,
    clock: Clock,
    common: Common,
    handed: Cell<u64>,
    folder: tempfile::TempDir,
    /// What it keeps for others too.
    kept: LocalReplicas,
}

impl Story {
    /// A forwarder that has ordered its group; `before` is what its folder holds.
    fn new(before: impl FnOnce(&mut EventLog)) -> Self {
        let (target, calls) = stand_ins::stand_in();
        Self::calling(target, calls, before)
    }

    fn calling(
        target: SocketAddr,
        calls: Calls<Asked>,
        before: impl FnOnce(&mut EventLog),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (config, known) = config(target);
        let told = told(&config, folder.path());
        let (mut ledger, _) =
            EventLog::open(&told.state_folder, told.max_disk_bytes).expect("opens");
        before(&mut ledger);
        ledger.commit().expect("writes");
        let (ledger, owed) =
            EventLog::open(&told.state_folder, told.max_disk_bytes).expect("opens");
        let fleet = StandIn::default();
        fleet.holds.set(true);
        fleet.has_room.set(true);
        let handle = RefCell::new(Box::new(fleet.clone()) as Box<dyn Fleet>);
        let kept = LocalReplicas::default();
        let ground = Ground {
            handle,
            stall: STALL,
            copies: true,
            own: Cell::default(),
            kept: kept.clone(),
        };
        let common = Common {
            ground: Some(Rc::new(ground)),
            ..quiet(told)
        };
        let executor = common.executor.clone();
        let (to_rounds, came_in) = async_channel::bounded(super::MAILBOX);
        let (to_notices, notices) = async_channel::bounded(crate::notices::MAILBOX);
        let left_out = LeftOut::open(folder.path(), 1 << 20).expect("opens");
        let mut rounds = Rounds::new(
            common.clone(),
            ledger,
            left_out,
            to_notices,
            to_rounds.clone(),
        );
        rounds.restore(&known, owed);
        executor.spawn(rounds.run(came_in)).detach();
        let (clock, handed) = (common.clock.clone(), Cell::new(0));
        Story {
            executor,
            fleet,
            to_rounds,
            notices,
            calls,
            clock,
            common,
            handed,
            folder,
            kept,
        }
    }

    /// Plays until it is there, for a long time at most.
    fn until<T>(&self, what: &str, mut there: impl FnMut() -> Option<T>) -> T {
        let waits = async {
            loop {
                if let Some(there) = there() {
                    return Some(there);
                }
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        let late = async {
            Timer::after(Duration::from_secs(30)).await;
            None
        };
        async_io::block_on(self.executor.run(futures_lite::future::or(waits, late))).expect(what)
    }

    fn tell(&self, came: CameIn) {
        self.to_rounds
            .try_send(came)
            .unwrap_or_else(|_| panic!("the mailbox has room"));
    }

    fn hears(&self, news: GroupEvent) {
        self.tell(CameIn::Ground(news));
    }

    fn leads(&self, group: GroupId, record: &EventTable) {
        let (mut machine, mut frames) = (LocalReplicas::default().new_state_machine(), Vec::new());
        record.write_frames(&mut frames);
        machine.apply(group.founder, Term(1), &encode_command(group, &frames));
        let state = machine.snapshot();
        self.hears(GroupEvent::Elected {
            group,
            purpose: Purpose::EventLog,
            term: Term(2),
            state,
        });
    }

    /// Leads its own empty group, and knows it.
    fn takes(&self) {
        self.leads(own(1), &EventTable::default());
        self.until("is ready", || self.common.is_ready().then_some(()));
    }

    /// Hands an event in; the word to the client comes over what it returns.
    fn hands_in(&self, id: &str, traffic: usize) -> Receiver<Verdict> {
        let (answer, verdict) = async_channel::bounded(1);
        self.handed.set(self.handed.get() + 1);
        let id = EventId(id.into());
        let (destination, key) = (DestinationId(1), Some(OrderKey(5)));
        let event = Event {
            id,
            destination,
            traffic: TrafficTypeId(traffic),
            patience: 60_000.0,
            key,
            fingerprint: None,
        };
        let patience_ends = self.clock.now() + 60_000.0;
        let body = b"body"[..].into();
        self.tell(CameIn::Event(Handed {
            number: self.handed.get(),
            event,
            patience_ends,
            body,
            answer,
        }));
        verdict
    }

    /// The next proposal to the group, read into what its keepers keep.
    fn proposed(&self, group: GroupId, keeper: &mut EventTable) -> u64 {
        let next = || {
            let mut orders = self.fleet.orders.borrow_mut();
            let at = orders.iter().position(
                |o| matches!(o, GroupRequest::Propose { group: of, .. } if *of == group),
            )?;
            Some(orders.remove(at))
        };
        let GroupRequest::Propose {
            number, command, ..
        } = self.until("proposes", next)
        else {
            panic!("seen")
        };
        let (of, frames) = decode_command(&command).expect("a command");
        assert_eq!((of, keeper.apply_frames(frames)), (group, frames.len()));
        number
    }

    fn ordered(&self, what: fn(&GroupRequest) -> bool) {
        self.until("orders", || {
            let mut orders = self.fleet.orders.borrow_mut();
            let at = orders.iter().position(what)?;
            Some(orders.remove(at))
        });
    }

    fn verdict(&self, from: &Receiver<Verdict>) -> Option<Verdict> {
        self.until("a verdict, or none for good", || match from.try_recv() {
            Ok(verdict) => Some(Some(verdict)),
            Err(e) => e.is_closed().then_some(None),
        })
    }

    fn call(&self) -> Asked {
        self.until("a call", || match self.calls.try_recv() {
            Ok(asked) => Some(asked),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => panic!("the target is there"),
        })
    }

    /// Rounds go by; what was to leave has left.
    fn goes_on(&self) {
        let at = std::time::Instant::now();
        self.until("time goes by", || {
            (at.elapsed() > Duration::from_millis(30)).then_some(())
        });
    }

    fn no_call(&self) {
        self.goes_on();
        assert!(self.calls.try_recv().is_err(), "nothing may be sent");
    }

    fn commits(&self, group: GroupId, keeper: &mut EventTable) {
        let number = self.proposed(group, keeper);
        self.hears(GroupEvent::Committed { group, number });
    }
}

fn taken(id: &str, traffic: &str) -> AcceptedEvent<'static> {
    let (id, traffic) = (id.to_owned().into(), traffic.to_owned().into());
    let body = b"body"[..].into();
    AcceptedEvent {
        id,
        destination: 1,
        traffic_type: traffic,
        deadline: 4e12,
        key: Some(5),
        body,
        ..AcceptedEvent::default()
    }
}
