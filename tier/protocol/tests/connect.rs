//! Connections to machines that do not answer at first.

mod common;

use std::net::Ipv4Addr;

use common::run;
use plankhill_protocol::transport::connect;
use tokio::join;
use tokio::net::{TcpSocket, TcpStream};

/// Guards machines that are back from a loss of power after others have begun to dial them: an
/// opening packet that nobody took is sent again only after a second, and members without a message
/// for 0.6 s are removed.
#[test]
fn a_lost_opening_packet_is_followed_by_a_second_attempt() {
    run(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
        // Its queue has room for one connection; the opening packets of others are dropped.
        let listener = socket.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let _first = TcpStream::connect(address).await.unwrap();
        let dialing = async {
            let begun = std::time::Instant::now();
            connect(address).await.unwrap();
            begun.elapsed()
        };
        let taking = async {
            // The dial's own attempt has been made by now.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            let _held = listener.accept().await.unwrap();
            listener.accept().await.unwrap()
        };
        let (took, _second) = join!(dialing, taking);
        assert!(took.as_millis() < 800, "{took:?}");
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
