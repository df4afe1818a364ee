//! Calls with answers to one peer. Used by the clients of stores.
//!
//! All calls share one connection, which comes up with the first call and again after it broke.
//! [`Shared`] owns the calls in flight and the connection; both tasks of a connection end with its
//! [`Link`].

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

/// Most calls that wait for the connection's writer.
const MAX_WRITE_QUEUE: usize = 4_096;
/// After a failed dial, calls fail at once for this time.
const REDIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer surely has not seen the call.
    #[error("the peer could not be reached")]
    NotSent,
    /// The peer may have seen the call and acted on it.
    #[error("no answer")]
    NoAnswer,
}

/// Calls one peer. Clones share the connection. For one thread only.
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
    /// A caller of the peer at `address`; nothing is connected yet.
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

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Calls the peer and waits for its answer for at most `max_wait`, connecting included.
    ///
    /// # Errors
    /// [`CallError`] says whether the peer may have seen the call.
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

/// What the clones of a caller and the tasks of its connection share.
struct Shared<Request, Reply> {
    address: SocketAddr,
    hello: Hello,
    state: RefCell<State<Request, Reply>>,
    /// Held while a connection is dialed: one dial at a time.
    dialing: Mutex<()>,
}

struct State<Request, Reply> {
    link: Option<Link<Request>>,
    /// The last number given to a call or a connection; both count on in one row.
    last_number: u64,
    /// When the last dial failed; `None` after one that came up.
    dial_failed_at: Option<Instant>,
    /// Who waits for the answer of each call in flight.
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
}

/// The present connection. Dropping it ends its tasks.
struct Link<Request> {
    number: u64,
    /// When the last answer came; at first, when the connection came up.
    last_answer: Instant,
    writes: mpsc::Sender<Envelope<Request>>,
    _reading: AbortOnDrop,
    _writing: AbortOnDrop,
}

/// What a call needs of the present connection.
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
            waiting: HashMap::new(),
        }
    }
}

impl<Request, Reply> State<Request, Reply> {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The present connection, unless its writer has ended.
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
    /// Enters a call in flight; the returned guard removes it again.
    fn register_call(&self, answer: oneshot::Sender<Reply>) -> PendingCall<'_, Request, Reply> {
        let mut state = self.state.borrow_mut();
        let call = state.next_number();
        state.waiting.insert(call, answer);
        PendingCall { shared: self, call }
    }

    /// Closes the connection. All calls that wait on it end without an answer.
    fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.link = None;
        state.waiting.clear();
    }

    /// Records that an answer came over connection `number`; returns who waits for it, if anyone
    /// still does.
    fn take_waiting(&self, number: u64, call: u64) -> Option<oneshot::Sender<Reply>> {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.link.as_mut() {
            if link.number == number {
                link.last_answer = Instant::now();
            }
        }
        state.waiting.remove(&call)
    }

    /// Closes connection `number` if no answer at all has come since `since`, when a call began
    /// that timed out: the connection may be dead. Otherwise the peer is only slow with this one
    /// call, and the others go on.
    fn close_if_idle_since(&self, number: u64, since: Instant) {
        let is_idle = match &self.state.borrow().link {
            Some(link) => link.last_answer <= since,
            None => false,
        };
        if is_idle {
            self.close_link(number);
        }
    }

    /// Closes connection `number`, unless another one has taken its place. Later calls use a new
    /// connection, those in flight get no answer.
    fn close_link(&self, number: u64) {
        let present = self.state.borrow().link.as_ref().map(|link| link.number);
        if present == Some(number) {
            self.close();
        }
    }
}

impl<Request, Reply> Shared<Request, Reply>
where
    Request: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    /// The present connection, or a new one.
    async fn connected(self: &Rc<Self>) -> Result<LinkHandle<Request>, CallError> {
        let _one_dial_at_a_time = self.dialing.lock().await;
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

    /// Starts the tasks of a new connection, and makes it the present one.
    fn open(self: &Rc<Self>, connection: Connection) -> LinkHandle<Request> {
        let (writes, queue) = mpsc::channel(MAX_WRITE_QUEUE);
        let mut state = self.state.borrow_mut();
        let number = state.next_number();
        let reading = spawn_local(read_answers(Rc::downgrade(self), connection.reader, number));
        let writing = spawn_local(write_queue(queue, connection.writer));
        let link = Link {
            number,
            last_answer: Instant::now(),
            writes,
            _reading: AbortOnDrop::new(reading),
            _writing: AbortOnDrop::new(writing),
        };
        let handle = link.handle();
        state.dial_failed_at = None;
        state.link = Some(link);
        handle
    }
}

/// Hands the answers of connection `number` to those who wait for them, until the connection ends.
/// The caller may be gone by then: the task does not keep it.
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
        if let Some(answer) = shared.take_waiting(number, envelope.call) {
            // The call may have stopped waiting.
            let _ = answer.send(envelope.body);
        }
    }
    if let Some(shared) = shared.upgrade() {
        shared.close_link(number);
    }
}

/// A call in flight. Dropping it forgets the call.
struct PendingCall<'a, Request, Reply> {
    shared: &'a Shared<Request, Reply>,
    call: u64,
}

impl<Request, Reply> Drop for PendingCall<'_, Request, Reply> {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().waiting.remove(&self.call);
    }
}
