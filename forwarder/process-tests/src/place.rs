//! Addresses that outlast a process.

use std::net::{SocketAddr, TcpListener};

/// An address that only its holder listens on, over many starts: the port is the system's, held on another
/// loopback address as long as this lives.
pub struct Place {
    pub address: SocketAddr,
    _held: TcpListener,
}

impl Place {
    pub fn held() -> Place {
        loop {
            let held = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address =
                SocketAddr::from(([127, 0, 0, 2], held.local_addr().expect("bound").port()));
            // A process that a killed test left behind may still listen there.
            if TcpListener::bind(address).is_ok() {
                return Place {
                    address,
                    _held: held,
                };
            }
        }
    }
}
