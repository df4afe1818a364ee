//! Tests of client connections at shutdown. In place of the event loop there is a mailbox that is
//! never read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{block_on, Async};
use serde_json::json;

use super::{wait_until_served, Clients};
use crate::context::tests::{context_without_log, load_config};
use crate::context::ServerContext;
use crate::messages::Input;
use crate::stream::until;

const LONG: Duration = Duration::from_secs(30);
const EVENT: &[u8] =
    b"POST /job HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 60\r\nX-Envelope: dest=1\r\n\
    Content-Length: 4\r\n\r\nbody";

struct Harness {
    context: ServerContext,
    address: SocketAddr,
    /// Kept open, and never read.
    _mailbox: Receiver<Input>,
    _folder: tempfile::TempDir,
}

impl Harness {
    fn new() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let job = json!({"name": "job", "semantics": "pure", "aimUs": 1000000, "deadlineUs": 60000000,
            "credit": 1, "lateWorth": 0.1, "serialByKey": false});
        let settings = json!({"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
            "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true}, "familyInfo": {"slots": 4},
            "profiles": [job], "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}});
        let config = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
            "limits": {"memory_mb": 16, "sockets": 256, "disk_mb": 3}, "settings": settings});
        let context = context_without_log(load_config(&config, folder.path()));
        let (to_event_loop, mailbox) = async_channel::bounded(4);
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let address = listener.get_ref().local_addr().expect("bound");
        let clients = Clients::new(context.clone(), to_event_loop);
        context.executor.spawn(clients.listen(listener)).detach();
        Harness {
            context,
            address,
            _mailbox: mailbox,
            _folder: folder,
        }
    }

    /// A client that has sent an event; the executor does not run until the test runs it.
    fn connect_and_submit(&self) -> TcpStream {
        let mut client =
            TcpStream::connect(self.address).expect("the kernel accepts the connection");
        client
            .write_all(EVENT)
            .expect("the kernel accepts the data");
        client.set_read_timeout(Some(LONG)).expect("a socket");
        client
    }

    fn run_until_all_are_served(&self) {
        let served = async { until(Instant::now() + LONG, wait_until_served(&self.context)).await };
        assert!(
            block_on(self.context.executor.run(served)).is_some(),
            "a client never received a response"
        );
    }
}

/// No connection has been accepted yet when the shutdown begins.
#[test]
fn a_client_in_the_kernels_queue_at_shutdown_is_answered() {
    let harness = Harness::new();
    harness.context.client_gate.shut_down();
    let mut clients: Vec<_> = (0..20).map(|_| harness.connect_and_submit()).collect();
    harness.run_until_all_are_served();
    let Harness {
        context, address, ..
    } = harness;
    // Drops everything that the process owns, as at its end.
    drop(context);
    for client in &mut clients {
        let mut response = String::new();
        client
            .read_to_string(&mut response)
            .expect("the connection is closed without a reset");
        assert!(
            response.starts_with("HTTP/1.1 503 ") && response.contains("Connection: close"),
            "{address}: {response}"
        );
    }
}

/// The event loop has not processed the shutdown yet, and would accept the event.
#[test]
fn an_event_that_is_read_after_shutdown_is_answered_and_not_submitted() {
    let harness = Harness::new();
    harness.context.client_gate.shut_down();
    let mut client = harness.connect_and_submit();
    harness.run_until_all_are_served();
    let mut response = [0; 13];
    client.read_exact(&mut response).expect("a response");
    assert_eq!(&response, b"HTTP/1.1 503 ");
    assert!(harness._mailbox.is_empty());
}
