//! Request-response calls: answers, timeouts, unreachable and restarted peers.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{any_port, run};
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::transport::{
    dial, listen, serve_calls, CallError, CallReply, Caller, Channel, Hello, ReplyGuard,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Longer than any wait in a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);
/// A call that is answered only after the test releases it.
const DELAYED_CALL: u64 = 0;

fn hello() -> Hello {
    Hello::new(Channel::Store, NodeId::from("one"))
}

/// Starts a server that answers each call with its double, and [`DELAYED_CALL`] only after
/// `release` is notified.
fn serve(address: SocketAddr, release: Rc<Notify>) -> (SocketAddr, JoinHandle<()>) {
    let listener = listen(address).unwrap();
    let address = listener.local_addr().unwrap();
    let answer = move |_: Hello, call: u64| {
        let release = release.clone();
        async move {
            if call == DELAYED_CALL {
                release.notified().await;
            }
            CallReply::from(2 * call)
        }
    };
    (
        address,
        tokio::task::spawn_local(serve_calls(listener, hello(), answer)),
    )
}

#[test]
fn each_call_receives_its_own_answer() {
    run(async {
        let (address, _server) = serve(any_port(), Rc::default());
        let caller = Caller::<u64, u64>::new(address, hello());
        let calls: Vec<_> = (1..=100)
            .map(|call| {
                let caller = caller.clone();
                tokio::task::spawn_local(
                    async move { (call, caller.call(call, LONG_TIMEOUT).await) },
                )
            })
            .collect();
        for call in calls {
            let (call, answer) = call.await.unwrap();
            assert_eq!(answer, Ok(2 * call));
        }
    });
}

#[test]
fn answers_may_arrive_out_of_order() {
    run(async {
        let release = Rc::new(Notify::new());
        let (address, _server) = serve(any_port(), release.clone());
        let caller = Caller::<u64, u64>::new(address, hello());
        let delayed = tokio::task::spawn_local({
            let caller = caller.clone();
            async move { caller.call(DELAYED_CALL, LONG_TIMEOUT).await }
        });
        assert_eq!(caller.call(4, LONG_TIMEOUT).await, Ok(8));
        release.notify_one();
        assert_eq!(delayed.await.unwrap(), Ok(0));
    });
}

#[test]
fn a_call_without_an_answer_times_out_and_its_late_answer_is_discarded() {
    run(async {
        let release = Rc::new(Notify::new());
        let (address, _server) = serve(any_port(), release.clone());
        let caller = Caller::<u64, u64>::new(address, hello());
        assert_eq!(
            caller.call(DELAYED_CALL, SHORT_TIMEOUT).await,
            Err(CallError::NoAnswer)
        );
        release.notify_one();
        assert_eq!(caller.call(5, LONG_TIMEOUT).await, Ok(10));
    });
}

/// A call that times out must not close the shared connection while the peer answers other calls.
#[test]
fn a_slow_call_does_not_close_the_connection_of_other_calls() {
    run(async {
        let release = Rc::new(Notify::new());
        let (address, _server) = serve(any_port(), release.clone());
        let caller = Caller::<u64, u64>::new(address, hello());
        let long_call = tokio::task::spawn_local({
            let caller = caller.clone();
            async move { caller.call(DELAYED_CALL, LONG_TIMEOUT).await }
        });
        // The peer answers other calls until the short call has timed out.
        let ended = Rc::new(Cell::new(false));
        let short_call = async {
            let answer = caller.call(DELAYED_CALL, SHORT_TIMEOUT).await;
            ended.set(true);
            answer
        };
        let other_calls = async {
            while !ended.get() {
                assert_eq!(caller.call(3, LONG_TIMEOUT).await, Ok(6));
            }
        };
        assert_eq!(
            tokio::join!(short_call, other_calls).0,
            Err(CallError::NoAnswer)
        );
        release.notify_one();
        release.notify_one();
        release.notify_waiters();
        assert_eq!(long_call.await.unwrap(), Ok(0));
    });
}

#[test]
fn a_call_to_an_unreachable_peer_is_not_sent() {
    run(async {
        let closed_address = listen(any_port()).unwrap().local_addr().unwrap();
        let caller = Caller::<u64, u64>::new(closed_address, hello());
        assert_eq!(caller.call(1, LONG_TIMEOUT).await, Err(CallError::NotSent));
    });
}

#[test]
fn a_call_to_a_peer_that_crashes_has_no_answer() {
    run(async {
        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let caller = Caller::<u64, u64>::new(address, hello());
        let crashing_peer = async {
            let (stream, address) = listener.accept().await.unwrap();
            let mut connection = plankhill_protocol::transport::accept(stream, address, &hello())
                .await
                .unwrap();
            let _call: (u64, u64) = connection.reader.next().await.unwrap();
        };
        assert_eq!(
            tokio::join!(caller.call(1, LONG_TIMEOUT), crashing_peer).0,
            Err(CallError::NoAnswer)
        );
    });
}

#[test]
fn a_caller_reconnects_to_a_restarted_peer() {
    run(async {
        let (address, server) = serve(any_port(), Rc::default());
        let caller = Caller::<u64, u64>::new(address, hello());
        assert_eq!(caller.call(1, LONG_TIMEOUT).await, Ok(2));
        server.abort();
        assert!(server.await.unwrap_err().is_cancelled());
        let (restarted_address, _server) = serve(address, Rc::default());
        assert_eq!(restarted_address, address);
        assert_eq!(caller.call(2, LONG_TIMEOUT).await, Ok(4));
    });
}

/// Records that it was dropped.
struct DropFlag(Rc<Cell<bool>>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Guards against replies that take memory without a bound: a sender that limits its replies has to know until
/// when each of them is held.
#[test]
fn the_guard_of_a_reply_is_held_until_the_reply_is_written() {
    /// More than the sockets of a connection buffer.
    const REPLY_BYTES: usize = 24 * 1024 * 1024;
    run(async {
        let listener = listen(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let is_released: Rc<Cell<bool>> = Rc::default();
        let replies = Rc::new(Notify::new());
        let (flag, replying) = (is_released.clone(), replies.clone());
        let answer = move |_: Hello, _: u64| {
            let guard = Some(ReplyGuard::new(DropFlag(flag.clone())));
            replying.notify_one();
            async move {
                CallReply {
                    body: vec![1_u8; REPLY_BYTES],
                    guard,
                }
            }
        };
        tokio::task::spawn_local(serve_calls(listener, hello(), answer));
        let mut connection = dial(address, &hello()).await.unwrap();
        let (call, request) = (1_u64, 0_u64);
        connection.writer.send(&(call, request)).await.unwrap();
        replies.notified().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!is_released.get(), "nobody has read the reply");
        let next = connection.reader.next::<(u64, Vec<u8>)>().await;
        let (answered, body) = next.unwrap();
        assert_eq!((answered, body.len()), (call, REPLY_BYTES));
        while !is_released.get() {
            tokio::task::yield_now().await;
        }
    });
}
