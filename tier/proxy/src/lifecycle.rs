//! The phases of the process: waiting for its first tables, serving, draining and ending.
//!
//! One [`Lifecycle`] is shared by all tasks. The table feed records when tables are current, the
//! drain and signal tasks record when the process leaves service, and the tasks that serve clients
//! query the state.

use std::cell::Cell;
use std::rc::Rc;

use plankhill_dispatch::Ms;
use plankhill_draining::shutdown::Shutdown;
use tokio::sync::{watch, Notify};

use crate::clock::duration;
use crate::in_flight::{ConnectionGuard, InFlight, WorkGuard};

/// The policy for client connections, in ascending order of severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPolicy {
    /// Connections stay open.
    #[default]
    KeepOpen,
    /// Idle connections are closed at once, the others after the response in progress.
    CloseIdle,
    /// All connections are closed at once.
    CloseAll,
}

/// The lifecycle state of the process.
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
    /// Records that the tables have been current once in this process; later tables build on them.
    pub fn mark_tables_current(&self) {
        self.has_current_tables.set(true);
        self.tables_became_current.notify_waiters();
    }

    /// Returns once the tables have been current.
    pub async fn wait_tables_current(&self) {
        while !self.has_current_tables() {
            self.tables_became_current.notified().await;
        }
    }

    /// Whether the tables have been current once.
    pub fn has_current_tables(&self) -> bool {
        self.has_current_tables.get()
    }

    /// Begins the graceful shutdown of the process; its deadlines are on the clock of the process.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.send_replace(Some(shutdown));
    }

    /// The graceful shutdown; `None` until it begins.
    pub fn shutdown(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// Whether a request that arrived at `arrived` and may take until `deadline` is admitted before
    /// the process ends.
    pub fn admits(&self, arrived: Ms, deadline: Ms) -> bool {
        if *self.ended.borrow() {
            // No request is admitted after the end of the process has been decided.
            return false;
        }
        match *self.shutdown.borrow() {
            Some(shutdown) => shutdown.admits(duration(arrived), duration(deadline)),
            None => true,
        }
    }

    /// Counts a request that was rejected because the process ends before its response would be
    /// complete.
    pub fn count_rejected(&self) {
        self.rejected_requests.set(self.rejected_requests.get() + 1);
    }

    /// Number of requests that were rejected because the process ends.
    pub fn rejected_requests(&self) -> u64 {
        self.rejected_requests.get()
    }

    /// Signals the process to end now: no more work is waited for.
    pub fn end_process(&self) {
        self.ended.send_replace(true);
    }

    /// Returns when the process is to end.
    pub async fn process_ended(&self) {
        // Never an error: the sender lives as long as `self`.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Sets whether the operator has taken the node out of service.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_node_draining.set(is_draining);
    }

    /// Whether new clients are to use other nodes: the process is shutting down, or the node is out
    /// of service.
    pub fn is_draining(&self) -> bool {
        self.shutdown.borrow().is_some() || self.is_node_draining.get()
    }

    /// Sets the policy for client connections.
    pub fn set_connection_policy(&self, policy: ConnectionPolicy) {
        self.connection_policy.send_replace(policy);
    }

    /// The policy for client connections.
    pub fn connection_policy(&self) -> watch::Receiver<ConnectionPolicy> {
        self.connection_policy.subscribe()
    }

    /// Begins a unit of work that must finish before the process ends.
    pub fn begin_work(&self) -> WorkGuard {
        self.in_flight.begin_work()
    }

    /// Number of unfinished units of work, such as requests, streams and settlements.
    pub fn work_in_flight(&self) -> usize {
        self.in_flight.work()
    }

    /// Counts a new client connection.
    pub fn begin_connection(&self) -> ConnectionGuard {
        self.in_flight.begin_connection()
    }

    /// Number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.in_flight.connections()
    }

    /// Returns when the last unit of work, or the last client connection, ends.
    pub async fn became_idle(&self) {
        self.in_flight.became_idle().await;
    }

    /// Returns once no unfinished work is left.
    pub async fn work_finished(&self) {
        self.in_flight.work_finished().await;
    }
}
