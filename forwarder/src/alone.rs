//! What a process starts from when no other holds its folder.

use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use plankhill_handover::Lock;
use plankhill_ledger::{Ledger, Owed};
use plankhill_terms::{fields::Plain, Told};

use crate::kept;
use crate::left_out::LeftOut;

/// As many connections wait to be accepted: several times what clients open in a burst.
const QUEUE: i32 = 1024;

pub fn bind(key: &str, address: SocketAddr) -> Plain<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).map_err(|e| format!("{key}: {address} cannot be listened on: {e}"))
}

pub struct Alone {
    pub lock: Option<Lock>,
    pub ledger: Ledger,
    pub owed: Vec<Owed>,
    pub left_out: LeftOut,
    pub listener: Async<TcpListener>,
}

impl Alone {
    pub fn start(told: &Told, lock: Option<Lock>) -> Plain<Self> {
        // The ledger last, as reading it cuts off a torn end: whatever else is faulty leaves the folder as it is.
        let left_out = LeftOut::open(&told.state, told.disk)?;
        kept::check(&told.state)?;
        let listener = bind("PROXY_LISTEN", told.listen)?;
        let (ledger, owed) = Ledger::open(&told.state, told.disk)
            .map_err(|e| format!("PROXY_STATE: the ledger in {}: {e}", told.state.display()))?;
        // The library's queue of 128 would overflow when many connect at once, and all others wait a second.
        rustix::net::listen(&listener, QUEUE).map_err(|e| format!("PROXY_LISTEN: {e}"))?;
        Ok(Alone { lock, ledger, owed, left_out, listener })
    }
}

pub fn address_of(listener: &Async<TcpListener>, told: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(told)
}
