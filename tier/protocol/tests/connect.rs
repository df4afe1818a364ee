//! Connections to machines that do not answer at first.

mod common;

use std::net::Ipv4Addr;

use common::run;
use plankhill_protocol::transport::connect;
use tokio::join;
use tokio::net::{TcpSocket, TcpStream};

/// Guards against slow connections to a machine that restarts after a power loss while others are
/// dialing it: a lost SYN packet is retransmitted only after one second, and members without a
/// message for 0.6 s are removed.
#[test]
fn a_lost_syn_packet_is_followed_by_a_second_attempt() {
    run(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        // The accept queue has room for one connection; the SYN packets of others are dropped.
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let _first = TcpStream::connect(address).await.unwrap();
        let dialing = async {
            let started = std::time::Instant::now();
            connect(address).await.unwrap();
            started.elapsed()
        };
        let accepting = async {
            // After these yields, the first attempt of `connect` has been started.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            let _first_accepted = listener.accept().await.unwrap();
            listener.accept().await.unwrap()
        };
        let (elapsed, _second) = join!(dialing, accepting);
        assert!(elapsed.as_millis() < 800, "{elapsed:?}");
    });
}

#[test]
fn a_refused_connection_fails_at_once() {
    run(async {
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        assert_eq!(
            connect(address).await.unwrap_err().kind(),
            std::io::ErrorKind::ConnectionRefused
        );
    });
}
