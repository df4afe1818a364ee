//! Addresses that stay reserved across restarts of a process.

use std::net::{SocketAddr, TcpListener};

/// A listen address that is reserved for one process across its restarts: the port is assigned by the system, and
/// stays bound on another loopback address until this value is dropped.
pub struct ReservedAddress {
    /// The reserved address.
    pub address: SocketAddr,
    _reservation: TcpListener,
}

impl ReservedAddress {
    /// Reserves a free address.
    pub fn reserve() -> ReservedAddress {
        loop {
            let reservation = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = SocketAddr::from((
                [127, 0, 0, 2],
                reservation.local_addr().expect("bound").port(),
            ));
            // A process left behind by a killed test may still listen at the address.
            if TcpListener::bind(address).is_ok() {
                return ReservedAddress {
                    address,
                    _reservation: reservation,
                };
            }
        }
    }
}
