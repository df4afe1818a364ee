//! The pinned bytes of frames, of the start of a connection, and of calls with their answers.

use std::time::Duration;

use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{
    accept, dial, listen, serve_calls, CallReply, Caller, Channel, FrameReader, FrameWriter, Hello,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::{any_port, run};
use crate::pinned::fixture;

/// Longer than any wait in a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn hello() -> Hello {
    Hello::new(Channel::Store, NodeId::from("store-1"))
}

/// Returns the bytes with this name in the fixture `frames.txt`.
fn pinned(name: &str) -> Vec<u8> {
    let lines = fixture("frames");
    let (_, bytes) = lines
        .into_iter()
        .find(|(pinned, _)| pinned == name)
        .unwrap();
    bytes
}

async fn assert_next_bytes(stream: &mut TcpStream, name: &str) {
    let expected = pinned(name);
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes).await.unwrap();
    assert_eq!(bytes, expected, "{name}");
}

#[test]
fn frames_keep_their_bytes() {
    run(async {
        let messages = ["first".to_owned(), "x".repeat(300)];
        let mut one_by_one = std::io::Cursor::new(Vec::new());
        let mut writer = FrameWriter::new(&mut one_by_one);
        for message in &messages {
            writer.send(message).await.unwrap();
        }
        assert_eq!(one_by_one.into_inner(), pinned("TwoFrames"));
        let mut together = std::io::Cursor::new(Vec::new());
        FrameWriter::new(&mut together)
            .send_all(&messages)
            .await
            .unwrap();
        assert_eq!(together.into_inner(), pinned("TwoFrames"));
        let bytes = pinned("TwoFrames");
        let mut reader = FrameReader::new(bytes.as_slice());
        for message in &messages {
            assert_eq!(reader.next::<String>().await.unwrap(), *message);
        }
    });
}

#[test]
fn both_sides_of_a_connection_begin_with_the_same_bytes() {
    run(async {
        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let dialing =
            tokio::task::spawn_local(async move { dial(address, &hello()).await.unwrap().peer });
        let (mut raw, _) = listener.accept().await.unwrap();
        assert_next_bytes(&mut raw, "Hello").await;
        raw.write_all(&pinned("Hello")).await.unwrap();
        assert_eq!(dialing.await.unwrap(), hello());

        let mut raw = TcpStream::connect(address).await.unwrap();
        let (stream, address) = listener.accept().await.unwrap();
        let accepting = tokio::task::spawn_local(async move {
            accept(stream, address, &hello()).await.unwrap().peer
        });
        assert_next_bytes(&mut raw, "Hello").await;
        raw.write_all(&pinned("Hello")).await.unwrap();
        assert_eq!(accepting.await.unwrap(), hello());
    });
}

#[test]
fn calls_and_answers_keep_their_bytes() {
    run(async {
        let listener = listen(any_port()).unwrap();
        let caller = Caller::<String, String>::new(listener.local_addr().unwrap(), hello());
        let calling = tokio::task::spawn_local(async move {
            caller.call("question".to_owned(), LONG_TIMEOUT).await
        });
        let (mut raw, _) = listener.accept().await.unwrap();
        assert_next_bytes(&mut raw, "Hello").await;
        raw.write_all(&pinned("Hello")).await.unwrap();
        assert_next_bytes(&mut raw, "Call").await;
        raw.write_all(&pinned("Answer")).await.unwrap();
        assert_eq!(calling.await.unwrap(), Ok("answer".to_owned()));

        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let answer = |_: Hello, question: String| async move {
            assert_eq!(question, "question");
            CallReply::from("answer".to_owned())
        };
        tokio::task::spawn_local(serve_calls(listener, hello(), answer));
        let mut raw = TcpStream::connect(address).await.unwrap();
        raw.write_all(&pinned("Hello")).await.unwrap();
        assert_next_bytes(&mut raw, "Hello").await;
        raw.write_all(&pinned("Call")).await.unwrap();
        assert_next_bytes(&mut raw, "Answer").await;
    });
}
