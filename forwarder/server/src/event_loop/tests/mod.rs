//! The event loop with replication: the Raft groups are a stand-in that answers when a test says so, the target is one
//! on a socket.

mod adoption;
mod commits;
mod config;
#[path = "../../../tests/peers/held.rs"]
#[allow(dead_code)]
mod held;
mod raft_stand_in;
#[path = "../../../tests/peers/stand_ins.rs"]
#[allow(dead_code)]
mod stand_ins;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver as Calls, TryRecvError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use plankhill_decisions::interface::{DestinationId, EventId, Ms, OrderKey, TrafficTypeId};
use plankhill_event_log::{AcceptedEvent, EventLog, EventTable};
use plankhill_hot_restart::{EventHeader, SubmitResponse};
use plankhill_raft_groups::{GroupEvent, GroupId, GroupRequest, Purpose, StateMachine, Term};
use plankhill_replication::state_machine::{decode_command, encode_command};
use plankhill_replication::LocalReplicas;

use self::config::config;
use self::raft_stand_in::{own, GroupsStandIn};
use self::stand_ins::Asked;
use super::EventLoop;
use crate::clock::Clock;
use crate::context::tests::{load_config, quiet_context};
use crate::context::ServerContext;
use crate::disabled_targets::DisabledTargetStore;
use crate::messages::{CompletionNotice, Input, Submission};
use crate::raft::RaftHandle;

const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const JOB: usize = 0;
const CHARGE: usize = 1;
const STALL: Ms = 50.0;
#[allow(dead_code)] // of the part of `held` that the tests on sockets use
const LONG: Duration = Duration::from_secs(30);

struct Harness {
    executor: Rc<LocalExecutor<'static>>,
    groups: GroupsStandIn,
    to_event_loop: Sender<Input>,
    notices: Receiver<CompletionNotice>,
    calls: Calls<Asked>,
    clock: Clock,
    context: ServerContext,
    submitted: Cell<u64>,
    folder: tempfile::TempDir,
    /// Event logs that the process keeps for others too.
    replicas: LocalReplicas,
}

impl Harness {
    /// An event loop that has asked for its group; `before` is what its folder holds.
    fn new(before: impl FnOnce(&mut EventLog)) -> Self {
        let (target, calls) = stand_ins::stand_in();
        Self::with_target(target, calls, before)
    }

    fn with_target(
        target: SocketAddr,
        calls: Calls<Asked>,
        before: impl FnOnce(&mut EventLog),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (config, known) = config(target);
        let config = load_config(&config, folder.path());
        let open = || EventLog::open(&config.state_folder, config.max_disk_bytes).expect("opens");
        let (mut log, _) = open();
        before(&mut log);
        log.commit().expect("writes");
        let (log, pending) = open();
        let groups = GroupsStandIn::default();
        groups.holds_lease.set(true);
        groups.has_capacity.set(true);
        let replicas = LocalReplicas::default();
        let raft = RaftHandle::new(Box::new(groups.clone()), STALL, true, replicas.clone());
        let context = ServerContext {
            raft: Some(Rc::new(raft)),
            ..quiet_context(config)
        };
        let executor = context.executor.clone();
        let (to_event_loop, inputs) = async_channel::bounded(super::MAX_MAILBOX_INPUTS);
        let (to_notifier, notices) = async_channel::bounded(crate::notifier::MAX_QUEUED_NOTICES);
        let disabled = DisabledTargetStore::open(folder.path(), 1 << 20).expect("opens");
        let mut event_loop = EventLoop::new(
            context.clone(),
            log,
            disabled,
            to_notifier,
            to_event_loop.clone(),
        );
        event_loop.restore(&known, pending);
        executor.spawn(event_loop.run(inputs)).detach();
        Harness {
            executor,
            groups,
            to_event_loop,
            notices,
            calls,
            clock: context.clock.clone(),
            context,
            submitted: Cell::new(0),
            folder,
            replicas,
        }
    }

    /// Runs until there is a value, for a long time at most.
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

    fn input(&self, input: Input) {
        self.to_event_loop
            .try_send(input)
            .unwrap_or_else(|_| panic!("the mailbox has room"));
    }

    fn group_event(&self, event: GroupEvent) {
        self.input(Input::GroupEvent(event));
    }

    /// The process leads the group, whose event log is `table`.
    fn elect(&self, group: GroupId, table: &EventTable) {
        let mut machine = LocalReplicas::default().new_state_machine();
        let mut frames = Vec::new();
        table.write_frames(&mut frames);
        machine.apply(group.founder, Term(1), &encode_command(group, &frames));
        let state = machine.snapshot();
        let purpose = Purpose::EventLog;
        self.group_event(GroupEvent::Elected {
            group,
            purpose,
            term: Term(2),
            state,
        });
    }

    /// The process leads its own empty group, and knows it.
    fn elect_own_group(&self) {
        self.elect(own(1), &EventTable::default());
        self.until("is ready", || self.context.is_ready().then_some(()));
    }

    /// Submits an event; the response to the client comes over what it returns.
    fn submit(&self, id: &str, traffic_type: usize) -> Receiver<SubmitResponse> {
        let (response, received) = async_channel::bounded(1);
        self.submitted.set(self.submitted.get() + 1);
        let event = EventHeader {
            id: EventId(id.into()),
            destination: DestinationId(1),
            traffic_type: TrafficTypeId(traffic_type),
            timeout: 60_000.0,
            key: Some(OrderKey(5)),
            fingerprint: None,
        };
        self.input(Input::Submitted(Submission {
            request_number: self.submitted.get(),
            event,
            deadline: self.clock.now() + 60_000.0,
            body: b"body"[..].into(),
            response,
        }));
        received
    }

    /// The next proposal to the group, applied to one of its replicas.
    fn next_proposal(&self, group: GroupId, replica: &mut EventTable) -> u64 {
        let next = || {
            let mut requests = self.groups.requests.borrow_mut();
            let at = requests.iter().position(
                |r| matches!(r, GroupRequest::Propose { group: of, .. } if *of == group),
            )?;
            Some(requests.remove(at))
        };
        let GroupRequest::Propose {
            number, command, ..
        } = self.until("proposes", next)
        else {
            panic!("seen")
        };
        let (of, frames) = decode_command(&command).expect("a command");
        assert_eq!((of, replica.apply_frames(frames)), (group, frames.len()));
        number
    }

    fn expect_request(&self, what: fn(&GroupRequest) -> bool) {
        self.until("requests", || {
            let mut requests = self.groups.requests.borrow_mut();
            let at = requests.iter().position(what)?;
            Some(requests.remove(at))
        });
    }

    fn response(&self, from: &Receiver<SubmitResponse>) -> Option<SubmitResponse> {
        self.until("a response, or none for good", || match from.try_recv() {
            Ok(response) => Some(Some(response)),
            Err(e) => e.is_closed().then_some(None),
        })
    }

    fn next_call(&self) -> Asked {
        self.until("a call", || match self.calls.try_recv() {
            Ok(asked) => Some(asked),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => panic!("the target is there"),
        })
    }

    /// Iterations go by; what was to leave has left.
    fn let_iterations_pass(&self) {
        let at = std::time::Instant::now();
        self.until("time goes by", || {
            (at.elapsed() > Duration::from_millis(30)).then_some(())
        });
    }

    fn expect_no_call(&self) {
        self.let_iterations_pass();
        assert!(self.calls.try_recv().is_err(), "nothing may be sent");
    }

    fn commit_next(&self, group: GroupId, replica: &mut EventTable) {
        let number = self.next_proposal(group, replica);
        self.group_event(GroupEvent::Committed { group, number });
    }
}

fn accepted_event(id: &str, traffic_type: &str) -> AcceptedEvent<'static> {
    AcceptedEvent {
        id: id.to_owned().into(),
        destination: 1,
        traffic_type: traffic_type.to_owned().into(),
        deadline: 4e12,
        key: Some(5),
        body: b"body"[..].into(),
        ..AcceptedEvent::default()
    }
}
