//! The phases of the process: waiting for its first tables, serving, draining, ending.
//!
//! One [`Lifecycle`] is shared by all tasks. The table feed says when tables are current, draining
//! and the signals say when the process leaves service, and the tasks that serve clients ask here.

use std::cell::Cell;
use std::rc::Rc;

use plankhill_dispatch::Ms;
use plankhill_draining::shutdown::Shutdown;
use tokio::sync::{watch, Notify};

use crate::clock::duration;
use crate::in_flight::{ConnectionGuard, InFlight, WorkGuard};

/// What is to become of clients' connections, in the order of severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPolicy {
    /// They stay open.
    #[default]
    KeepOpen,
    /// Idle ones are closed, the others behind the answer under way.
    CloseIdle,
    /// All are closed at once.
    CloseAll,
}

/// The phase of the process.
#[derive(Debug, Default)]
pub struct Lifecycle {
    has_current_tables: Cell<bool>,
    tables_became_current: Notify,
    shutdown: watch::Sender<Option<Shutdown>>,
    ended: watch::Sender<bool>,
    rejected_requests: Cell<u64>,
    is_node_draining: Cell<bool>,
    connection_policy: watch::Sender<ConnectionPolicy>,
    in_flight: Rc<InFlight>,
}

impl Lifecycle {
    /// The tables have been the newest once in this process; later ones continue from there.
    pub fn mark_tables_current(&self) {
        self.has_current_tables.set(true);
        self.tables_became_current.notify_waiters();
    }

    /// Returns once the tables have been the newest.
    pub async fn wait_tables_current(&self) {
        while !self.has_current_tables() {
            self.tables_became_current.notified().await;
        }
    }

    /// Whether the tables have been the newest once.
    pub fn has_current_tables(&self) -> bool {
        self.has_current_tables.get()
    }

    /// The graceful shutdown of the process begins; its times are on the clock of the process.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// The graceful shutdown, once it has begun.
    pub fn shutdown(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// Whether a request that came at `arrived` and may take until `deadline` is begun before the
    /// process ends.
    pub fn admits(&self, arrived: Ms, deadline: Ms) -> bool {
        if *self.ended.borrow() {
            // Once the end has been decided on, no request is begun.
            return false;
        }
        match *self.shutdown.borrow() {
            Some(shutdown) => shutdown.admits(duration(arrived), duration(deadline)),
            None => true,
        }
    }

    /// A request was rejected because the process ends before it could be answered.
    pub fn count_rejected(&self) {
        self.rejected_requests.set(self.rejected_requests.get() + 1);
    }

    /// Requests that were rejected because the process ends.
    pub fn rejected_requests(&self) -> u64 {
        self.rejected_requests.get()
    }

    /// No work is left to be waited for: the process ends now.
    pub fn end_process(&self) {
        self.ended.send_replace(true);
    }

    /// Returns when the process is to end.
    pub async fn process_ended(&self) {
        // Never an error: the sender lives as long as `self`.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// The operator takes the node out of service (`true`), or back.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_node_draining.set(is_draining);
    }

    /// Whether new clients are to go to other nodes.
    pub fn is_draining(&self) -> bool {
        self.shutdown.borrow().is_some() || self.is_node_draining.get()
    }

    /// Sets what is to become of clients' connections.
    pub fn set_connection_policy(&self, policy: ConnectionPolicy) {
        self.connection_policy.send_replace(policy);
    }

    /// What is to become of clients' connections.
    pub fn connection_policy(&self) -> watch::Receiver<ConnectionPolicy> {
        self.connection_policy.subscribe()
    }

    /// Work begins that has to be finished before the process ends.
    pub fn begin_work(&self) -> WorkGuard {
        self.in_flight.begin_work()
    }

    /// Work that is not finished: requests, streams, settlements.
    pub fn work_in_flight(&self) -> usize {
        self.in_flight.work()
    }

    /// A client has connected.
    pub fn begin_connection(&self) -> ConnectionGuard {
        self.in_flight.begin_connection()
    }

    /// Connections of clients that are open.
    pub fn open_connections(&self) -> usize {
        self.in_flight.connections()
    }

    /// Returns when the last work ends, or the last connection of a client.
    pub async fn became_idle(&self) {
        self.in_flight.became_idle().await;
    }

    /// Returns once no work is left.
    pub async fn work_finished(&self) {
        self.in_flight.work_finished().await;
    }
}
