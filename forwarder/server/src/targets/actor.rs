//! The actor of one target: it owns the idle connections, passes one to each call and gets it back.
//! The actor starts with a call and ends once the last connection is closed and no call is in
//! flight, so that an idle target costs one table entry.
//!
//! Spawned by [`TargetTable`](crate::target_table::TargetTable).

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender, WeakSender};
use plankhill_decisions::interface::TargetId;
use plankhill_hot_restart::Message;

use super::call::{Call, ReusedConnection};
use super::{max_idle_connections, TargetContext};
use crate::clock::{to_duration, to_ms};
use crate::connection_quotas::Permit;
use crate::count_guard::CountGuard;
use crate::messages::{Input, OutgoingCall, ReturnedConnection, TargetCommand};
use crate::stream::{is_open_without_data, until, Stream};

/// How long an actor without a connection waits for its next call, and the interval at which it
/// checks whether a call is still in flight: longer than the interval of health checks of a target
/// that is down.
const ACTOR_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

struct IdleConnection {
    // The connection is closed before its permit is released: fields are dropped in this order.
    stream: Stream,
    permit: Permit,
    idle_since: Instant,
    _counted: CountGuard,
}

struct Actor {
    context: TargetContext,
    target: TargetId,
    address: SocketAddr,
    /// Idle connections; the most recently used is last.
    idle: Vec<IdleConnection>,
    calls_in_flight: Rc<Cell<usize>>,
    /// Dropped to cancel all calls whose last byte is not written.
    cancel_on_drop: Sender<()>,
    cancelled: Receiver<()>,
    /// The actor's own mailbox, to which calls return connections.
    own_mailbox: WeakSender<TargetCommand>,
}

/// Runs the actor of a target until its mailbox is closed, or until it has neither a connection nor
/// a call in flight.
pub async fn run(
    context: TargetContext,
    target: TargetId,
    address: SocketAddr,
    mailbox: Receiver<TargetCommand>,
    own_mailbox: WeakSender<TargetCommand>,
) {
    let (cancel_on_drop, cancelled) = async_channel::bounded(1);
    let mut actor = Actor {
        context,
        target,
        address,
        idle: Vec::new(),
        calls_in_flight: Rc::new(Cell::new(0)),
        cancel_on_drop,
        cancelled,
        own_mailbox,
    };
    actor.register_with_quotas();
    loop {
        match until(actor.next_timeout(), mailbox.recv()).await {
            Some(Ok(command)) => actor.run_command(command).await,
            Some(Err(_)) => return,
            None if !actor.idle.is_empty() => {
                actor.idle.remove(0);
            }
            None if actor.calls_in_flight.get() == 0 && mailbox.is_empty() => {
                // The mailbox is closed with no await since it was found empty, so that no command
                // is lost.
                mailbox.close();
                return actor.stop().await;
            }
            None => (),
        }
    }
}

impl Actor {
    /// When the oldest idle connection is closed, or else when the actor checks whether it can
    /// stop.
    fn next_timeout(&self) -> Instant {
        match self.idle.first() {
            Some(oldest) => {
                oldest.idle_since + to_duration(self.context.server.config.idle_timeout)
            }
            None => Instant::now() + ACTOR_IDLE_TIMEOUT,
        }
    }

    /// Registers the actor with the quotas, which can request that idle connections are closed.
    fn register_with_quotas(&self) {
        let Some(quotas) = &self.context.server.quotas else {
            return;
        };
        let mailbox = self.own_mailbox.clone();
        quotas.actor_started(&self.target, move |surplus| match mailbox.upgrade() {
            Some(mailbox) => mailbox
                .try_send(TargetCommand::CloseSurplus(surplus))
                .is_ok(),
            None => false,
        });
    }

    async fn run_command(&mut self, command: TargetCommand) {
        match command {
            TargetCommand::Call(call) => self.start_call(Some(call)),
            TargetCommand::HealthCheck => self.start_call(None),
            TargetCommand::CloseIdle => self.idle.clear(),
            TargetCommand::CancelUnsent => self.cancel_unsent(),
            TargetCommand::AddressChanged(address) => {
                self.address = address;
                self.idle.clear();
                // Another target may listen at the old address now: unwritten parts of calls must
                // not be written there.
                self.cancel_unsent();
            }
            TargetCommand::TransferIdle => {
                for IdleConnection {
                    stream, idle_since, ..
                } in std::mem::take(&mut self.idle)
                {
                    self.transfer(stream, idle_since).await;
                }
            }
            TargetCommand::CloseSurplus(surplus) => {
                let surplus = self.idle.len().min(surplus as usize);
                self.idle.drain(..surplus);
            }
            TargetCommand::ConnectionReturned(returned) => {
                self.on_connection_returned(*returned).await
            }
        }
    }

    fn cancel_unsent(&mut self) {
        let (cancel_on_drop, cancelled) = async_channel::bounded(1);
        self.cancel_on_drop = cancel_on_drop;
        self.cancelled = cancelled;
    }

    /// Starts a call; without `outgoing` the call is a health check.
    fn start_call(&mut self, outgoing: Option<OutgoingCall>) {
        let call = Call {
            context: self.context.clone(),
            target: self.target.clone(),
            address: self.address,
            reused: self.take_idle_connection(),
            cancelled: self.cancelled.clone(),
            actor: self.own_mailbox.clone(),
            _counted: CountGuard::try_new(&self.calls_in_flight, usize::MAX),
        };
        self.context
            .server
            .executor
            .spawn(call.run(outgoing))
            .detach();
    }

    /// Takes the most recently used idle connection that is still open and has no unread bytes.
    fn take_idle_connection(&mut self) -> Option<ReusedConnection> {
        while let Some(IdleConnection { stream, permit, .. }) = self.idle.pop() {
            if is_open_without_data(&stream) {
                return Some(ReusedConnection { stream, permit });
            }
        }
        None
    }

    async fn on_connection_returned(&mut self, returned: ReturnedConnection) {
        // The permit is bound first, so that it is released after the connection is closed if both
        // are dropped here.
        let ReturnedConnection {
            permit,
            address,
            idle_since,
            stream,
        } = returned;
        if address != self.address {
            return; // The target's address changed while the call was in flight.
        }
        if self.context.server.transfer.sender().is_some() {
            self.transfer(stream, idle_since).await;
            return;
        }
        let max = max_idle_connections(&self.context.server.config);
        if let Some(counted) = CountGuard::try_new(&self.context.idle_connections, max) {
            self.idle.push(IdleConnection {
                stream,
                permit,
                idle_since,
                _counted: counted,
            });
        }
    }

    /// Passes an idle connection to the successor process.
    async fn transfer(&self, stream: Stream, idle_since: Instant) {
        let Some(successor) = self.context.server.transfer.sender() else {
            return;
        };
        let idle_for = to_ms(idle_since.elapsed());
        if let Ok(stream) = stream.into_inner() {
            let message = Message::IdleConnection {
                target: self.target.clone(),
                idle_for,
            };
            let _ = successor.send((message, Some(stream.into()))).await;
        }
    }

    async fn stop(self) {
        if let Some(quotas) = &self.context.server.quotas {
            quotas.actor_stopped(&self.target);
        }
        let to_event_loop = self.context.to_event_loop.clone();
        let _ = to_event_loop
            .send(Input::TargetActorStopped(self.target))
            .await;
    }
}
