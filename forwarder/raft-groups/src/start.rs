//! Starts the threads of an instance.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::thread::Thread;
use std::time::Instant;

use plankhill_forwarder_config::fleet::FleetConfig;
use rtrb::RingBuffer;

use crate::core::{Core, Pace};
use crate::disk::folder;
use crate::disk::log::Log;
use crate::disk::thread::Disk;
use crate::groups::{Begun, Groups, Rings};
use crate::handle::Leases;
use crate::links::Links;
use crate::ring::{Bell, Sender};
use crate::watchdog::Watchdog;
use crate::{GroupEventStream, Purpose, RaftGroups, StateMachine};

/// Makes the empty machine of a new group.
pub type StateMachineFactory = Box<dyn Fn(Purpose) -> Box<dyn StateMachine> + Send>;

/// All that an instance is started with.
pub struct StartOptions {
    pub fleet: FleetConfig,
    /// Which of the fleet's instances this is.
    pub name: String,
    /// Its own folder, `fleet` under `PROXY_STATE`; made where there is none.
    pub folder: PathBuf,
    pub log: slog::Logger,
    pub state_machines: StateMachineFactory,
}

/// Places in each ring.
const PLACES: usize = 4096;

/// Starts listening and the threads. The error says why this folder or address can't be used. Where copies are
/// on, the kernel's timer runs from the first [`Handle::alive`].
pub fn start(start: StartOptions) -> io::Result<(RaftGroups, GroupEventStream)> {
    let StartOptions {
        fleet,
        name,
        folder,
        log,
        state_machines: machines,
    } = start;
    let me = fleet.instances.iter().position(|i| i.name == name);
    let me = me.ok_or_else(|| io::Error::other(format!("instances: none is named {name:?}")))?;
    let address = fleet.instances[me].address;
    let listener = TcpListener::bind(address).map_err(|e| {
        io::Error::new(
            e.kind(),
            format!("instances.address: {address} can't be listened at: {e}"),
        )
    })?;
    let identity = folder::begin(&folder)?;
    let pace = Pace::new(
        fleet.timing.heartbeat,
        fleet.timing.election,
        fleet.timing.stall,
    );
    let (mut logs, mut cores) = (BTreeMap::new(), BTreeMap::new());
    for group in folder::groups(&folder)? {
        let (file, kept) = Log::open(&folder, group)?;
        let purpose = file.purpose();
        let core = Core::new(
            group,
            purpose,
            identity.incarnation,
            kept,
            machines(purpose),
            pace,
        );
        let core = core.map_err(|_| {
            let path = folder::log_path(&folder, group);
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{}: can't be made sense of", path.display()),
            )
        })?;
        cores.insert(group, core);
        logs.insert(group, file);
    }
    let leases = Arc::new(Leases::new(Instant::now()));
    let begun = Begun {
        met: folder::met(&folder)?,
        gone: folder::gone(&folder)?.into_iter().collect(),
        identity,
        me,
        pace,
        cores,
        machines,
        leases: leases.clone(),
        log: log.clone(),
        folder: folder.clone(),
        fleet: fleet.clone(),
    };
    // Parts of pools rest on it as records do.
    let guarded = fleet.replication.is_some() || !fleet.pools.is_empty();
    let deadman = guarded
        .then(|| Watchdog::new(fleet.timing.stall))
        .transpose()?;
    spawn(begun, logs, listener, leases, deadman)
}

fn spawn(
    begun: Begun,
    logs: BTreeMap<crate::GroupId, Log>,
    listener: TcpListener,
    leases: Arc<Leases>,
    deadman: Option<Watchdog>,
) -> io::Result<(RaftGroups, GroupEventStream)> {
    let stop = Arc::new(AtomicBool::new(false));
    let room = Arc::new(AtomicU64::new(u64::MAX));
    let refused = Arc::new(Mutex::new(None));
    let incarnation = begun.identity.incarnation;
    let (orders, from_loop) = RingBuffer::new(PLACES);
    let (news, to_loop) = RingBuffer::new(PLACES);
    let (links, from_groups) = RingBuffer::new(PLACES);
    let (said, from_links) = RingBuffer::new(PLACES);
    let (disk, to_disk) = RingBuffer::new(PLACES);
    let (done, from_disk) = RingBuffer::new(PLACES);
    let (news_bell, news_rings) = async_channel::bounded(1);
    let (links_bell, links_ring) = async_channel::bounded(1);

    // The groups' thread waits for the others' names, they for its own.
    let (hand, handed) = std::sync::mpsc::channel::<Rings>();
    let (log, folder, fleet, me) = (
        begun.log.clone(),
        begun.folder.clone(),
        begun.fleet.clone(),
        begun.me,
    );
    let thread = |name: &str| std::thread::Builder::new().name(name.into());
    let groups = thread("fleet-groups").spawn(move || {
        if let Ok(rings) = handed.recv() {
            Groups::new(begun, rings).run();
        }
    })?;
    let to_groups: Thread = groups.thread().clone();
    let outbox = Sender::new(done, Bell::Thread(to_groups.clone()));
    let writer = Disk {
        folder,
        inbox: to_disk,
        outbox,
        logs,
        log: log.clone(),
        stop: stop.clone(),
    };
    let writer = thread("fleet-disk").spawn(move || writer.run())?;
    let outbox = Sender::new(said, Bell::Thread(to_groups.clone()));
    let stopped = stop.clone();
    let talker = Links {
        fleet,
        me,
        listener,
        log,
        inbox: from_groups,
        bell: links_ring,
        outbox,
        stop: stopped,
    };
    let talker = thread("fleet-links").spawn(move || talker.run())?;
    let rings = Rings {
        orders: from_loop,
        news: Sender::new(news, Bell::Task(news_bell)),
        links: Sender::new(links, Bell::Task(links_bell)),
        from_links,
        disk: Sender::new(disk, Bell::Thread(writer.thread().clone())),
        from_disk,
        stop: stop.clone(),
        refused: refused.clone(),
        room: room.clone(),
    };
    hand.send(rings)
        .map_err(|_| io::Error::other("the groups' thread has ended"))?;
    let threads = vec![groups, talker, writer];
    let groups = to_groups.clone();
    let proposed = 0;
    let handle = RaftGroups {
        proposed,
        orders,
        groups,
        leases,
        stop,
        threads,
        deadman,
        incarnation,
        room,
        refused,
    };
    Ok((
        handle,
        GroupEventStream {
            news: to_loop,
            bell: news_rings,
            groups: to_groups,
        },
    ))
}
