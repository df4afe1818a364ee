//! The contract of framed connections, which every pair of halves has to satisfy; tested with TCP
//! and with in-memory streams.

mod common;

use std::net::Ipv4Addr;

use arbtest::arbitrary::Unstructured;
use common::{any_port, run};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{
    accept, dial, listen, Channel, FrameReader, FrameWriter, Hello, TransportError,
    MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

type Message = Vec<u8>;

async fn tcp() -> (impl AsyncWrite + Unpin, impl AsyncRead + Unpin) {
    let listener = listen(any_port()).unwrap();
    let dialed = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    (dialed, accepted)
}

fn encoded(messages: &[Message]) -> Vec<u8> {
    run(async {
        let mut bytes = std::io::Cursor::new(Vec::new());
        FrameWriter::new(&mut bytes)
            .send_all(messages)
            .await
            .unwrap();
        bytes.into_inner()
    })
}

fn any_messages(draw: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<Message>> {
    (0..draw.int_in_range(0..=5)?)
        .map(|_| draw.arbitrary())
        .collect()
}

/// Asserts that the messages arrive complete and in order, followed by the end of the connection.
async fn assert_delivers(
    to: impl AsyncWrite + Unpin,
    from: impl AsyncRead + Unpin,
    messages: Vec<Message>,
) {
    let sending = async {
        let mut writer = FrameWriter::new(to);
        for message in &messages {
            writer.send(message).await.unwrap();
        }
    };
    let receiving = async {
        let mut reader = FrameReader::new(from);
        for message in &messages {
            assert_eq!(reader.next::<Message>().await.unwrap(), *message);
        }
        assert!(matches!(
            reader.next::<Message>().await,
            Err(TransportError::Io(_))
        ));
    };
    tokio::join!(sending, receiving);
}

/// Sends `bytes` and closes the connection; returns the error that the reader reports after
/// `complete` messages.
async fn read_error_after(
    mut to: impl AsyncWrite + Unpin,
    from: impl AsyncRead + Unpin,
    bytes: &[u8],
    complete: usize,
) -> TransportError {
    let sending = async {
        // The reader may have stopped already.
        let _ = to.write_all(bytes).await;
        drop(to);
    };
    let receiving = async {
        let mut reader = FrameReader::new(from);
        for _ in 0..complete {
            reader.next::<Message>().await.unwrap();
        }
        reader.next::<Message>().await.unwrap_err()
    };
    tokio::join!(sending, receiving).1
}

#[test]
fn memory_delivers_any_messages_in_chunks_of_any_size() {
    arbtest::arbtest(|draw| {
        let (messages, chunk_size) = (any_messages(draw)?, draw.int_in_range(1..=40)?);
        let (to, from) = tokio::io::duplex(chunk_size);
        run(assert_delivers(to, from, messages));
        Ok(())
    });
}

#[test]
fn tcp_delivers_any_messages() {
    arbtest::arbtest(|draw| {
        let messages = any_messages(draw)?;
        run(async {
            let (to, from) = tcp().await;
            assert_delivers(to, from, messages).await;
        });
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn memory_reports_a_truncated_frame() {
    arbtest::arbtest(|draw| {
        let messages = vec![draw.arbitrary()?, draw.arbitrary::<Message>()?];
        let (first, bytes) = (encoded(&messages[..1]).len(), encoded(&messages));
        let cut = draw.int_in_range(first..=bytes.len() - 1)?;
        let (to, from) = tokio::io::duplex(7);
        let error = run(read_error_after(to, from, &bytes[..cut], 1));
        assert!(matches!(error, TransportError::Io(_)), "{error}");
        Ok(())
    });
}

#[test]
fn tcp_reports_a_truncated_frame() {
    let bytes = encoded(&[vec![1, 2, 3], vec![4, 5, 6]]);
    let error = run(async {
        let (to, from) = tcp().await;
        read_error_after(to, from, &bytes[..bytes.len() - 2], 1).await
    });
    assert!(matches!(error, TransportError::Io(_)), "{error}");
}

#[test]
fn a_frame_over_the_limit_is_rejected_before_its_body_is_read() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_le_bytes();
    let (to, from) = tokio::io::duplex(64);
    let error = run(read_error_after(to, from, &length, 0));
    assert!(matches!(error, TransportError::FrameTooLong(_)), "{error}");
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    arbtest::arbtest(|draw| {
        let bytes: Vec<u8> = draw.arbitrary()?;
        let (to, from) = tokio::io::duplex(16);
        run(async {
            let mut to = to;
            let sending = async {
                let _ = to.write_all(&bytes).await;
                drop(to);
            };
            let receiving = async {
                let mut reader = FrameReader::new(from);
                while reader.next::<Hello>().await.is_ok() {}
            };
            tokio::join!(sending, receiving);
        });
        Ok(())
    });
}

#[test]
fn a_message_over_the_limit_is_not_sent() {
    let message = vec![0_u8; MAX_FRAME_BYTES + 1];
    let error = run(async {
        FrameWriter::new(tokio::io::sink())
            .send(&message)
            .await
            .unwrap_err()
    });
    assert!(matches!(error, TransportError::FrameTooLong(_)), "{error}");
}

#[test]
fn another_protocol_version_is_rejected() {
    run(async {
        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let here = Hello::new(Channel::Feed, NodeId::from("here"));
        let there = Hello {
            version: PROTOCOL_VERSION + 1,
            ..here.clone()
        };
        let accepting = async {
            let (stream, address) = listener.accept().await.unwrap();
            accept(stream, address, &here).await
        };
        let (accepted, _) = tokio::join!(accepting, dial(address, &there));
        assert!(
            matches!(accepted, Err(TransportError::Version(version)) if version == there.version)
        );
    });
}

#[test]
fn both_sides_receive_the_greeting_of_the_other() {
    run(async {
        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        assert_eq!(address.ip(), Ipv4Addr::LOCALHOST);
        let (here, there) = (
            Hello::new(Channel::Feed, NodeId::from("here")),
            Hello::new(Channel::Feed, NodeId::from("there")),
        );
        let accepting = async {
            let (stream, address) = listener.accept().await.unwrap();
            accept(stream, address, &here).await.unwrap()
        };
        let (accepted, dialed) = tokio::join!(accepting, dial(address, &there));
        assert_eq!(
            (accepted.peer, dialed.unwrap().peer),
            (there.clone(), here.clone())
        );
    });
}
