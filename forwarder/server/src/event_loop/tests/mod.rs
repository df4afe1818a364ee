//! Tests of the event loop with replication. A fake, controlled by the tests, replaces the Raft
//! groups; the target listens on a socket.

mod adoption;
#[path = "../../../tests/peers/blocked_target.rs"]
#[allow(dead_code)]
mod blocked_target;
mod commits;
mod config;
mod fake_raft;
#[path = "../../../tests/peers/stub_servers.rs"]
#[allow(dead_code)]
mod stub_servers;

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
use self::fake_raft::{own_group, FakeGroups};
use self::stub_servers::ReceivedRequest;
use super::EventLoop;
use crate::clock::Clock;
use crate::context::tests::{context_without_log, load_config};
use crate::context::ServerContext;
use crate::disabled_targets::DisabledTargetStore;
use crate::messages::{CompletionNotice, Input, Submission};
use crate::raft::RaftHandle;

const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const JOB: usize = 0;
const CHARGE: usize = 1;
const STALL: Ms = 50.0;
#[allow(dead_code)] // for the part of `blocked_target` that the socket tests use
const TIMEOUT: Duration = Duration::from_secs(30);

struct Harness {
    executor: Rc<LocalExecutor<'static>>,
    groups: FakeGroups,
    to_event_loop: Sender<Input>,
    notices: Receiver<CompletionNotice>,
    calls: Calls<ReceivedRequest>,
    clock: Clock,
    context: ServerContext,
    submitted: Cell<u64>,
    folder: tempfile::TempDir,
    /// The process's replicas of event logs, including those of other owners.
    replicas: LocalReplicas,
}

impl Harness {
    /// An event loop that has requested its own group; `before` fills the log in its state folder.
    fn new(before: impl FnOnce(&mut EventLog)) -> Self {
        let (target, calls) = stub_servers::stub_server();
        Self::with_target(target, calls, before)
    }

    fn with_target(
        target: SocketAddr,
        calls: Calls<ReceivedRequest>,
        before: impl FnOnce(&mut EventLog),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (config, endpoint_list) = config(target);
        let config = load_config(&config, folder.path());
        let open = || {
            EventLog::open(&config.state_folder, config.max_disk_bytes).expect("the store opens")
        };
        let (mut log, _) = open();
        before(&mut log);
        log.commit().expect("the log is written");
        let (log, pending) = open();
        let groups = FakeGroups::default();
        groups.holds_lease.set(true);
        groups.has_capacity.set(true);
        let replicas = LocalReplicas::default();
        let raft = RaftHandle::new(Box::new(groups.clone()), STALL, true, replicas.clone());
        let context = ServerContext {
            raft: Some(Rc::new(raft)),
            ..context_without_log(config)
        };
        let executor = context.executor.clone();
        let (to_event_loop, inputs) = async_channel::bounded(super::MAX_MAILBOX_INPUTS);
        let (to_notifier, notices) = async_channel::bounded(crate::notifier::MAX_QUEUED_NOTICES);
        let disabled = DisabledTargetStore::open(folder.path(), 1 << 20).expect("the store opens");
        let mut event_loop = EventLoop::new(
            context.clone(),
            log,
            disabled,
            to_notifier,
            to_event_loop.clone(),
        );
        event_loop.restore(&endpoint_list, pending);
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

    /// Runs the executor until `check` returns a value, for 30 seconds at most.
    fn until<T>(&self, what: &str, mut check: impl FnMut() -> Option<T>) -> T {
        let waits = async {
            loop {
                if let Some(value) = check() {
                    return Some(value);
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

    /// Makes the process the leader of the group, whose event log is `table`.
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

    /// Makes the process the leader of its own empty group, and waits until it is ready.
    fn elect_own_group(&self) {
        self.elect(own_group(1), &EventTable::default());
        self.until("is ready", || self.context.is_ready().then_some(()));
    }

    /// Submits an event; returns the channel that receives the response to the client.
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

    /// Takes the next proposal to the group, applies it to one of the group's replicas and returns
    /// its number.
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
            panic!("only proposals match")
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
        self.until("a response or a closed channel", || match from.try_recv() {
            Ok(response) => Some(Some(response)),
            Err(e) => e.is_closed().then_some(None),
        })
    }

    fn next_call(&self) -> ReceivedRequest {
        self.until("a call", || match self.calls.try_recv() {
            Ok(asked) => Some(asked),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => panic!("the target is running"),
        })
    }

    /// Runs the executor for some time, so that pending effects are sent.
    fn run_pending_iterations(&self) {
        let at = std::time::Instant::now();
        self.until("the time has passed", || {
            (at.elapsed() > Duration::from_millis(30)).then_some(())
        });
    }

    fn expect_no_call(&self) {
        self.run_pending_iterations();
        assert!(self.calls.try_recv().is_err(), "no call may be sent");
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
