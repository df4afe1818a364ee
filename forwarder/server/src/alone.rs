//! What a process starts from when no other holds its folder.

use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_forwarder_config::{fields::Plain, ForwarderConfig};
use plankhill_hot_restart::Lock;

use crate::kept;
use crate::left_out::LeftOut;

/// As many connections wait to be accepted: several times what clients open in a burst.
const QUEUE: i32 = 1024;

pub fn bind(key: &str, address: SocketAddr) -> Plain<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .map_err(|e| format!("{key}: {address} cannot be listened on: {e}"))
}

/// Says whose the folder is: what is owed there names destinations of that forwarder's deployment alone.
const OWNER: &str = "owner";

/// Whether the folder is that of the forwarder of our name, or of nobody yet. An empty file is none: a machine that
/// failed may leave it.
pub fn is_ours(told: &ForwarderConfig) -> Plain<()> {
    let path = told.state_folder.join(OWNER);
    let wrong = |what: String| Err(format!("PROXY_STATE: {}: {what}", path.display()));
    match std::fs::read_to_string(&path) {
        Ok(name) if name.is_empty() || name == told.name => Ok(()),
        Ok(name) => wrong(format!(
            "the folder is {name:?}'s, and PROXY_NAME is {:?}",
            told.name
        )),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(()),
        Err(e) => wrong(format!("cannot be read: {e}")),
    }
}

/// Marks the folder as ours. Where that cannot be written it stays nobody's, as it was.
fn own(told: &ForwarderConfig) {
    let (path, new) = (
        told.state_folder.join(OWNER),
        told.state_folder.join("owner.new"),
    );
    if std::fs::read(&path).is_ok_and(|name| name == told.name.as_bytes()) {
        return;
    }
    let written = std::fs::write(&new, &told.name).and_then(|()| std::fs::rename(&new, &path));
    if written.is_err() {
        let _ = std::fs::remove_file(&new);
    }
}

pub struct Alone {
    pub lock: Option<Lock>,
    pub ledger: EventLog,
    pub owed: Vec<PendingEvent>,
    pub left_out: LeftOut,
    pub listener: Async<TcpListener>,
}

impl Alone {
    pub fn start(told: &ForwarderConfig, lock: Option<Lock>) -> Plain<Self> {
        is_ours(told)?;
        // The ledger last, as reading it cuts off a torn end: whatever else is faulty leaves the folder as it is.
        let left_out = LeftOut::open(&told.state_folder, told.max_disk_bytes)?;
        kept::check(&told.state_folder)?;
        let listener = bind("PROXY_LISTEN", told.listen_address)?;
        let (ledger, owed) =
            EventLog::open(&told.state_folder, told.max_disk_bytes).map_err(|e| {
                format!(
                    "PROXY_STATE: the ledger in {}: {e}",
                    told.state_folder.display()
                )
            })?;
        // The library's queue of 128 would overflow when many connect at once, and all others wait a second.
        rustix::net::listen(&listener, QUEUE).map_err(|e| format!("PROXY_LISTEN: {e}"))?;
        own(told);
        Ok(Alone {
            lock,
            ledger,
            owed,
            left_out,
            listener,
        })
    }
}

pub fn address_of(listener: &Async<TcpListener>, told: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(told)
}
