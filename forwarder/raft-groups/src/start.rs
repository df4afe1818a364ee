//! Starts the threads of an instance.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use plankhill_forwarder_config::fleet::FleetConfig;
use rtrb::RingBuffer;

use crate::disk::group_log::GroupLog;
use crate::disk::thread::DiskThread;
use crate::disk::{group_files, identity, known_starts};
use crate::groups::{GroupsThread, InstanceContext, Rings, StoredState};
use crate::handle::SharedStatus;
use crate::leases::Leases;
use crate::links::LinksThread;
use crate::replica::{GroupTiming, Replica};
use crate::ring::{RingSender, Waker};
use crate::watchdog::Watchdog;
use crate::{GroupEventStream, GroupId, Purpose, RaftGroups, StateMachine};

/// Creates the empty state machine of a new group.
pub type StateMachineFactory = Box<dyn Fn(Purpose) -> Box<dyn StateMachine> + Send>;

/// The options with which an instance is started.
pub struct StartOptions {
    /// The fleet file.
    pub fleet: FleetConfig,
    /// The name of this instance in the fleet file.
    pub name: String,
    /// The instance's own folder, `fleet` in `PROXY_STATE`; created if missing.
    pub folder: PathBuf,
    /// The logger of the instance's threads.
    pub logger: slog::Logger,
    /// The factory for the event loop's state machines.
    pub state_machines: StateMachineFactory,
}

/// The capacity of each ring, in values.
const RING_CAPACITY: usize = 4096;

/// Binds the peer address and starts the threads of the instance. If leases are used, the watchdog is armed by the
/// first [`RaftGroups::feed_watchdog`].
///
/// # Errors
/// The fleet file does not contain the instance, or its folder or address is unusable.
pub fn start(options: StartOptions) -> io::Result<(RaftGroups, GroupEventStream)> {
    let StartOptions {
        fleet,
        name,
        folder,
        logger,
        state_machines,
    } = options;
    let me = fleet
        .instances
        .iter()
        .position(|instance| instance.name == name);
    let me = me.ok_or_else(|| io::Error::other(format!("instances: none is named {name:?}")))?;
    let address = fleet.instances[me].address;
    let listener = TcpListener::bind(address).map_err(|error| {
        let reason = format!("instances.address: cannot listen on {address}: {error}");
        io::Error::new(error.kind(), reason)
    })?;
    // Connection quotas depend on leases, as event logs do.
    let uses_leases = fleet.replication.is_some() || !fleet.pools.is_empty();
    let watchdog_timeout = fleet.timing.stall;
    let timing = GroupTiming::new(
        fleet.timing.heartbeat,
        fleet.timing.election,
        watchdog_timeout,
    );
    let (stored, logs) = load(&folder, &state_machines, timing)?;
    let leases = Arc::new(Leases::new(Instant::now()));
    let instance = InstanceContext {
        fleet,
        me,
        folder,
        logger,
        state_machines,
        timing,
        leases,
    };
    let watchdog = if uses_leases {
        Some(Watchdog::new(watchdog_timeout)?)
    } else {
        None
    };
    spawn_threads(instance, stored, logs, listener, watchdog)
}

/// Starts a new generation of the instance's folder and reads the folder's contents.
fn load(
    folder: &Path,
    state_machines: &StateMachineFactory,
    timing: GroupTiming,
) -> io::Result<(StoredState, BTreeMap<GroupId, GroupLog>)> {
    let identity = identity::begin_start(folder)?;
    let mut logs = BTreeMap::new();
    let mut replicas = BTreeMap::new();
    for group in group_files::groups(folder)? {
        let (log, state) = GroupLog::open(folder, group)?;
        let purpose = log.purpose();
        let state_machine = state_machines(purpose);
        let replica = Replica::new(
            group,
            purpose,
            identity.incarnation,
            state,
            state_machine,
            timing,
        );
        let replica = replica.map_err(|fault| {
            let path = group_files::log_path(folder, group);
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{}: {fault}", path.display()),
            )
        })?;
        replicas.insert(group, replica);
        logs.insert(group, log);
    }
    let stored = StoredState {
        identity,
        replicas,
        dissolved: group_files::dissolved_groups(folder)?,
        known_starts: known_starts::load(folder)?,
    };
    Ok((stored, logs))
}

/// Starts the three threads. A ring needs the thread of its receiver for wake-ups, so the groups thread is started
/// first and receives its rings once the other threads are running.
fn spawn_threads(
    instance: InstanceContext,
    stored: StoredState,
    logs: BTreeMap<GroupId, GroupLog>,
    listener: TcpListener,
    watchdog: Option<Watchdog>,
) -> io::Result<(RaftGroups, GroupEventStream)> {
    let status = SharedStatus::new();
    let leases = instance.leases.clone();
    let incarnation = stored.identity.incarnation;
    let (requests_in, requests_out) = RingBuffer::new(RING_CAPACITY);
    let (events_in, events_out) = RingBuffer::new(RING_CAPACITY);
    let (to_links_in, to_links_out) = RingBuffer::new(RING_CAPACITY);
    let (from_links_in, from_links_out) = RingBuffer::new(RING_CAPACITY);
    let (to_disk_in, to_disk_out) = RingBuffer::new(RING_CAPACITY);
    let (from_disk_in, from_disk_out) = RingBuffer::new(RING_CAPACITY);
    let (event_waker, event_wake_ups) = async_channel::bounded(1);
    let (links_waker, links_wake_ups) = async_channel::bounded(1);

    let fleet = instance.fleet.clone();
    let me = instance.me;
    let folder = instance.folder.clone();
    let logger = instance.logger.clone();

    let (rings_in, rings_out) = std::sync::mpsc::channel::<Rings>();
    let groups_handle = spawn_thread("fleet-groups", move || {
        // The channel is closed without rings if another thread failed to start.
        if let Ok(rings) = rings_out.recv() {
            GroupsThread::new(instance, stored, rings).run();
        }
    })?;
    let groups_thread = groups_handle.thread().clone();

    let disk = DiskThread {
        folder,
        inbox: to_disk_out,
        outbox: RingSender::new(from_disk_in, Waker::Thread(groups_thread.clone())),
        logs,
        logger: logger.clone(),
        stop: status.stop.clone(),
    };
    let disk_handle = spawn_thread("fleet-disk", move || disk.run())?;
    let links = LinksThread {
        fleet,
        me,
        listener,
        logger,
        inbox: to_links_out,
        wake_ups: links_wake_ups,
        outbox: RingSender::new(from_links_in, Waker::Thread(groups_thread.clone())),
        stop: status.stop.clone(),
    };
    let links_handle = spawn_thread("fleet-links", move || links.run())?;
    let rings = Rings {
        requests: requests_out,
        events: RingSender::new(events_in, Waker::Task(event_waker)),
        links: RingSender::new(to_links_in, Waker::Task(links_waker)),
        from_links: from_links_out,
        disk: RingSender::new(to_disk_in, Waker::Thread(disk_handle.thread().clone())),
        from_disk: from_disk_out,
        status: status.clone(),
    };
    rings_in
        .send(rings)
        .map_err(|_| io::Error::other("the groups' thread has ended"))?;

    let groups = RaftGroups {
        requests: requests_in,
        groups_thread: groups_thread.clone(),
        leases,
        status,
        threads: vec![groups_handle, links_handle, disk_handle],
        watchdog,
        incarnation,
        command_bytes: 0,
    };
    let events = GroupEventStream {
        events: events_out,
        wake_ups: event_wake_ups,
        groups_thread,
    };
    Ok((groups, events))
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}
