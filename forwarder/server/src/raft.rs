//! The server's handle to the Raft groups of its fleet, if a fleet file is configured: requests to
//! the groups, and the liveness signal of the executor, without which the groups' watchdog ends the
//! process.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use plankhill_decisions::interface::Ms;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_raft_groups::{
    start, GroupEventStream, GroupId, GroupRequest, Incarnation, Purpose, RaftGroups, StartOptions,
    StateMachine,
};
use plankhill_replication::LocalReplicas;
use slog::{info, Logger};

use crate::clock::to_duration;
use crate::connection_quotas::control::LeaseStateMachine;
use crate::fanout::FanoutStateMachine;

/// Name of the Raft groups' folder in the state folder.
const FOLDER: &str = "fleet";

/// Interface to the Raft groups: implemented by their handle and by a test double.
pub trait RaftClient {
    /// # Errors
    /// Returns the request if there is no capacity for it now.
    fn try_request(&mut self, request: GroupRequest) -> Result<(), GroupRequest>;
    fn holds_lease(&self, group: GroupId) -> bool;
    fn has_capacity(&self) -> bool;
    fn incarnation(&self) -> Incarnation;
    fn feed_watchdog(&self);
    fn watchdog_timeout(&self) -> Option<Ms>;
}

impl RaftClient for RaftGroups {
    fn try_request(&mut self, request: GroupRequest) -> Result<(), GroupRequest> {
        self.try_request(request)
    }

    fn holds_lease(&self, group: GroupId) -> bool {
        self.holds_lease(group)
    }

    fn has_capacity(&self) -> bool {
        self.has_capacity()
    }

    fn incarnation(&self) -> Incarnation {
        self.incarnation()
    }

    fn feed_watchdog(&self) {
        self.feed_watchdog();
    }

    fn watchdog_timeout(&self) -> Option<Ms> {
        self.watchdog_timeout()
    }
}

/// The Raft groups cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("PROXY_FLEET: {reason}")]
pub struct RaftStartError {
    reason: String,
}

pub struct RaftHandle {
    groups: RefCell<Box<dyn RaftClient>>,
    max_stall: Ms,
    replicates_event_logs: bool,
    /// The group in which new events are accepted.
    own_group: Cell<Option<GroupId>>,
    replicas: LocalReplicas,
}

impl RaftHandle {
    /// `max_stall` is the longest time in milliseconds that a process may stall, which is the
    /// watchdog's timeout; `replicas` are the replicas of event logs at this process, of its own log
    /// and of those of other instances.
    pub fn new(
        groups: Box<dyn RaftClient>,
        max_stall: Ms,
        replicates_event_logs: bool,
        replicas: LocalReplicas,
    ) -> Self {
        RaftHandle {
            groups: RefCell::new(groups),
            max_stall,
            replicates_event_logs,
            own_group: Cell::default(),
            replicas,
        }
    }

    /// Starts the groups and their threads; returns `None`, and starts nothing, if no fleet file is
    /// configured.
    ///
    /// # Errors
    /// The groups' folder, address or keys are invalid.
    pub fn start(
        config: &ForwarderConfig,
        log: &Logger,
    ) -> Result<Option<(RaftHandle, GroupEventStream)>, RaftStartError> {
        let Some(fleet) = config.fleet.clone() else {
            return Ok(None);
        };
        let max_stall = fleet.timing.stall;
        let replicates_event_logs = fleet.replication.is_some();
        let replicas = LocalReplicas::default();
        let control = match config.fanout {
            Some(_) => ControlGroup::Fanout,
            None => ControlGroup::Leases,
        };
        let machine_replicas = replicas.clone();
        let options = StartOptions {
            fleet,
            name: config.name.clone(),
            folder: config.state_folder.join(FOLDER),
            logger: log.clone(),
            state_machines: Box::new(move |purpose| {
                new_state_machine(&machine_replicas, purpose, control)
            }),
        };
        let (groups, events) = start(options).map_err(|error| RaftStartError {
            reason: error.to_string(),
        })?;
        info!(log, "joins its fleet"; "incarnation" => groups.incarnation().0,
            "replication" => replicates_event_logs);
        let handle = RaftHandle::new(Box::new(groups), max_stall, replicates_event_logs, replicas);
        Ok(Some((handle, events)))
    }

    /// # Errors
    /// Returns the request if there is no capacity for it now.
    pub fn request(&self, request: GroupRequest) -> Result<(), GroupRequest> {
        self.groups.borrow_mut().try_request(request)
    }

    /// Whether no other instance can own the group yet; checked before a call's first byte is sent.
    pub fn holds_lease(&self, group: GroupId) -> bool {
        self.groups.borrow().holds_lease(group)
    }

    /// Whether the state of the groups allows new events to be accepted.
    pub fn accepts_events(&self) -> bool {
        let holds_own_lease = self
            .own_group
            .get()
            .is_some_and(|own| self.holds_lease(own));
        holds_own_lease && self.groups.borrow().has_capacity()
    }

    /// The group in which new events are accepted.
    pub fn set_own_group(&self, group: Option<GroupId>) {
        self.own_group.set(group);
    }

    /// The replicas of event logs at this process, of its own log and of those of other instances.
    pub fn replicas(&self) -> &LocalReplicas {
        &self.replicas
    }

    /// Whether event logs are replicated; otherwise the fleet serves other purposes.
    pub fn replicates_event_logs(&self) -> bool {
        self.replicates_event_logs
    }

    /// The longest time in milliseconds that a process may stall.
    pub fn max_stall(&self) -> Ms {
        self.max_stall
    }

    pub fn incarnation(&self) -> Incarnation {
        self.groups.borrow().incarnation()
    }

    /// Signals to the watchdog that the executor is alive.
    pub fn feed_watchdog(&self) {
        self.groups.borrow().feed_watchdog();
    }

    /// Interval at which the watchdog is to be fed: several times within its timeout.
    pub fn watchdog_interval(&self) -> Duration {
        let timeout = self
            .groups
            .borrow()
            .watchdog_timeout()
            .unwrap_or(self.max_stall);
        to_duration(timeout / 8.0).max(Duration::from_millis(1))
    }
}

/// Contents of the fleet's control group.
#[derive(Clone, Copy)]
enum ControlGroup {
    /// Lists and broadcasts.
    Fanout,
    /// Leases of connection quotas.
    Leases,
}

fn new_state_machine(
    replicas: &LocalReplicas,
    purpose: Purpose,
    control: ControlGroup,
) -> Box<dyn StateMachine> {
    match (purpose, control) {
        (Purpose::EventLog, _) => Box::new(replicas.new_state_machine()),
        (Purpose::Control, ControlGroup::Fanout) => Box::new(FanoutStateMachine::default()),
        (Purpose::Control, ControlGroup::Leases) => Box::new(LeaseStateMachine::default()),
    }
}
