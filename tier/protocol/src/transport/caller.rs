//! Client side of request-response calls to one peer. Used by the clients of stores.
//!
//! All calls share one connection, which is opened by the first call and reopened by the first call
//! after a failure. [`Shared`] owns the pending calls and the connection; dropping the connection's
//! [`Link`] aborts both of its tasks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, Mutex};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::abort_on_drop::AbortOnDrop;
use super::envelope::{write_queue, Envelope};
use super::{dial, Connection, FrameReader, Hello};

/// Maximum number of calls queued for the connection's writer.
const MAX_WRITE_QUEUE: usize = 4_096;
/// Time after a failed dial during which calls fail at once.
const REDIAL_BACKOFF: Duration = Duration::from_millis(100);

/// An error of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer has definitely not received the call.
    #[error("the peer could not be reached")]
    NotSent,
    /// The peer may have received and executed the call.
    #[error("no answer")]
    NoAnswer,
}

/// A client for calls to one peer. Clones share the connection. Usable on one thread only.
pub struct Caller<Request, Reply> {
    shared: Rc<Shared<Request, Reply>>,
}

impl<Request, Reply> Clone for Caller<Request, Reply> {
    fn clone(&self) -> Self {
        Caller {
            shared: self.shared.clone(),
        }
    }
}

impl<Request, Reply> Caller<Request, Reply>
where
    Request: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    /// Creates a caller of the peer at `address`, without connecting.
    pub fn new(address: SocketAddr, hello: Hello) -> Self {
        let shared = Shared {
            address,
            hello,
            state: RefCell::new(State::default()),
            dialing: Mutex::new(()),
        };
        Caller {
            shared: Rc::new(shared),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Calls the peer and waits for its answer for at most `max_wait`, including the time to
    /// connect.
    ///
    /// # Errors
    /// [`CallError`], which indicates whether the peer may have received the call.
    pub async fn call(&self, request: Request, max_wait: Duration) -> Result<Reply, CallError> {
        let started = Instant::now();
        let deadline = started + max_wait;
        let link = match timeout(max_wait, self.shared.connected()).await {
            Ok(connected) => connected?,
            Err(_elapsed) => return Err(CallError::NotSent),
        };
        let (answer, answered) = oneshot::channel();
        let pending = self.shared.register_call(answer);
        let envelope = Envelope {
            call: pending.call,
            body: request,
            guard: None,
        };
        if link.writes.try_send(envelope).is_err() {
            return Err(CallError::NotSent);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(remaining, answered).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_connection_closed)) => Err(CallError::NoAnswer),
            Err(_elapsed) => {
                self.shared.close_if_idle_since(link.number, started);
                Err(CallError::NoAnswer)
            }
        }
    }
}

/// State shared by the clones of a caller and the tasks of its connection.
struct Shared<Request, Reply> {
    address: SocketAddr,
    hello: Hello,
    state: RefCell<State<Request, Reply>>,
    /// Locked while a connection is dialed, which allows one dial at a time.
    dialing: Mutex<()>,
}

struct State<Request, Reply> {
    link: Option<Link<Request>>,
    /// The last number assigned to a call or a connection; both use the same counter.
    last_number: u64,
    /// Time at which the last dial failed; `None` after a successful dial.
    dial_failed_at: Option<Instant>,
    /// The answer channel of each pending call, by call number.
    pending_calls: HashMap<u64, oneshot::Sender<Reply>>,
}

/// The open connection. Dropping it aborts its tasks.
struct Link<Request> {
    number: u64,
    /// Time of the last answer; initially the time at which the connection was opened.
    last_answer_at: Instant,
    writes: mpsc::Sender<Envelope<Request>>,
    _read_task: AbortOnDrop,
    _write_task: AbortOnDrop,
}

/// The number and the write queue of the open connection.
struct LinkHandle<Request> {
    number: u64,
    writes: mpsc::Sender<Envelope<Request>>,
}

impl<Request> Link<Request> {
    fn handle(&self) -> LinkHandle<Request> {
        LinkHandle {
            number: self.number,
            writes: self.writes.clone(),
        }
    }
}

impl<Request, Reply> Default for State<Request, Reply> {
    fn default() -> Self {
        State {
            link: None,
            last_number: 0,
            dial_failed_at: None,
            pending_calls: HashMap::new(),
        }
    }
}

impl<Request, Reply> State<Request, Reply> {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the open connection, unless its writer has ended.
    fn open_link(&self) -> Option<LinkHandle<Request>> {
        let link = self.link.as_ref()?;
        if link.writes.is_closed() {
            return None;
        }
        Some(link.handle())
    }

    fn is_backing_off(&self) -> bool {
        self.dial_failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < REDIAL_BACKOFF)
    }
}

impl<Request, Reply> Shared<Request, Reply> {
    /// Registers a pending call; dropping the returned guard removes the call.
    fn register_call(&self, answer: oneshot::Sender<Reply>) -> PendingCall<'_, Request, Reply> {
        let mut state = self.state.borrow_mut();
        let call = state.next_number();
        state.pending_calls.insert(call, answer);
        PendingCall { shared: self, call }
    }

    /// Closes the connection. All pending calls end with [`CallError::NoAnswer`].
    fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.link = None;
        state.pending_calls.clear();
    }

    /// Records that an answer arrived on connection `number`. Returns the answer channel of `call`
    /// if the call is still pending.
    fn take_pending_call(&self, number: u64, call: u64) -> Option<oneshot::Sender<Reply>> {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.link.as_mut() {
            if link.number == number {
                link.last_answer_at = Instant::now();
            }
        }
        state.pending_calls.remove(&call)
    }

    /// Closes connection `number` if it has received no answer to any call since `since`, the start
    /// of a call that timed out: the connection may be dead. Otherwise only this call is slow, and
    /// the other calls continue.
    fn close_if_idle_since(&self, number: u64, since: Instant) {
        let is_idle = match &self.state.borrow().link {
            Some(link) => link.last_answer_at <= since,
            None => false,
        };
        if is_idle {
            self.close_link(number);
        }
    }

    /// Closes connection `number`, unless another one has replaced it. Later calls open a new
    /// connection; pending calls end with [`CallError::NoAnswer`].
    fn close_link(&self, number: u64) {
        let open_number = self.state.borrow().link.as_ref().map(|link| link.number);
        if open_number == Some(number) {
            self.close();
        }
    }
}

impl<Request, Reply> Shared<Request, Reply>
where
    Request: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    /// Returns the open connection, or dials a new one.
    async fn connected(self: &Rc<Self>) -> Result<LinkHandle<Request>, CallError> {
        let _dial_guard = self.dialing.lock().await;
        if let Some(link) = self.state.borrow().open_link() {
            return Ok(link);
        }
        if self.state.borrow().is_backing_off() {
            return Err(CallError::NotSent);
        }
        self.close();
        match dial(self.address, &self.hello).await {
            Ok(connection) => Ok(self.open(connection)),
            Err(_) => {
                self.state.borrow_mut().dial_failed_at = Some(Instant::now());
                Err(CallError::NotSent)
            }
        }
    }

    /// Starts the tasks of a new connection and stores it as the open one.
    fn open(self: &Rc<Self>, connection: Connection) -> LinkHandle<Request> {
        let (writes, queue) = mpsc::channel(MAX_WRITE_QUEUE);
        let mut state = self.state.borrow_mut();
        let number = state.next_number();
        let read_task = spawn_local(read_answers(Rc::downgrade(self), connection.reader, number));
        let write_task = spawn_local(write_queue(queue, connection.writer));
        let link = Link {
            number,
            last_answer_at: Instant::now(),
            writes,
            _read_task: AbortOnDrop::new(read_task),
            _write_task: AbortOnDrop::new(write_task),
        };
        let handle = link.handle();
        state.dial_failed_at = None;
        state.link = Some(link);
        handle
    }
}

/// Delivers the answers that arrive on connection `number` to the pending calls, until the
/// connection ends. The reference to the caller is weak, so that this task does not keep a dropped
/// caller alive.
async fn read_answers<Request, Reply>(
    shared: Weak<Shared<Request, Reply>>,
    mut reader: FrameReader,
    number: u64,
) where
    Reply: DeserializeOwned,
{
    while let Ok(envelope) = reader.next::<Envelope<Reply>>().await {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        if let Some(answer) = shared.take_pending_call(number, envelope.call) {
            // The call may have been dropped in the meantime.
            let _ = answer.send(envelope.body);
        }
    }
    if let Some(shared) = shared.upgrade() {
        shared.close_link(number);
    }
}

/// A pending call. Dropping it removes the call from the state.
struct PendingCall<'a, Request, Reply> {
    shared: &'a Shared<Request, Reply>,
    call: u64,
}

impl<Request, Reply> Drop for PendingCall<'_, Request, Reply> {
    fn drop(&mut self) {
        self.shared
            .state
            .borrow_mut()
            .pending_calls
            .remove(&self.call);
    }
}
