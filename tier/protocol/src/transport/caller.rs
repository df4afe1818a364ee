//! Calls with answers over one connection, which comes up when it is needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::{dial, FrameReader, FrameWriter, Hello};

/// Calls that may wait for the connection's writer.
const WRITE_QUEUE: usize = 4_096;
/// After a failed dial, calls fail at once for this time.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);
/// Frames written together at most.
const BATCH: usize = 64;

/// One call or its answer on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    pub(super) call: u64,
    pub(super) body: T,
}

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

struct Shared<Request, Reply> {
    address: SocketAddr,
    hello: Hello,
    state: RefCell<State<Request, Reply>>,
    dialing: tokio::sync::Mutex<()>,
}

struct State<Request, Reply> {
    link: Option<Link<Request>>,
    next_call: u64,
    failed_at: Option<Instant>,
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
}

struct Link<Request> {
    number: u64,
    /// When the last answer came; at first, when the connection came up.
    heard: Instant,
    writes: mpsc::Sender<Envelope<Request>>,
    tasks: [JoinHandle<()>; 2],
}

impl<Request> Drop for Link<Request> {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl<Request, Reply> Caller<Request, Reply>
where
    Request: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    /// Calls the peer at this address; nothing is connected yet.
    pub fn new(address: SocketAddr, hello: Hello) -> Self {
        let state = State {
            link: None,
            next_call: 0,
            failed_at: None,
            waiting: HashMap::new(),
        };
        let dialing = tokio::sync::Mutex::new(());
        Caller {
            shared: Rc::new(Shared {
                address,
                hello,
                state: RefCell::new(state),
                dialing,
            }),
        }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// One call.
    ///
    /// # Errors
    /// [`CallError`] when there is no answer within `timeout`.
    pub async fn call(&self, request: Request, timeout: Duration) -> Result<Reply, CallError> {
        let begun = Instant::now();
        let ends = begun + timeout;
        let connected = tokio::time::timeout(timeout, self.connected());
        let (number, writes) = connected.await.map_err(|_| CallError::NotSent)??;
        let (answer, answered) = oneshot::channel();
        let call = {
            let mut state = self.shared.state.borrow_mut();
            state.next_call += 1;
            let call = state.next_call;
            state.waiting.insert(call, answer);
            call
        };
        let _forget = Forget {
            shared: &self.shared,
            call,
        };
        if writes
            .try_send(Envelope {
                call,
                body: request,
            })
            .is_err()
        {
            return Err(CallError::NotSent);
        }
        match tokio::time::timeout(ends.saturating_duration_since(Instant::now()), answered).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(CallError::NoAnswer),
            Err(_) => {
                self.shared.suspect_if_silent(number, begun);
                Err(CallError::NoAnswer)
            }
        }
    }

    async fn connected(&self) -> Result<(u64, mpsc::Sender<Envelope<Request>>), CallError> {
        let _one_at_a_time = self.shared.dialing.lock().await;
        {
            let state = self.shared.state.borrow();
            if let Some(link) = state.link.as_ref().filter(|link| !link.writes.is_closed()) {
                return Ok((link.number, link.writes.clone()));
            }
            if state
                .failed_at
                .is_some_and(|at| at.elapsed() < REDIAL_PAUSE)
            {
                return Err(CallError::NotSent);
            }
        }
        self.shared.close();
        let Ok(connection) = dial(self.shared.address, &self.shared.hello).await else {
            self.shared.state.borrow_mut().failed_at = Some(Instant::now());
            return Err(CallError::NotSent);
        };
        Ok(self
            .shared
            .clone()
            .open(connection.reader, connection.writer))
    }
}

impl<Request, Reply> Shared<Request, Reply>
where
    Request: Serialize + 'static,
    Reply: DeserializeOwned + 'static,
{
    fn open(
        self: Rc<Self>,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> (u64, mpsc::Sender<Envelope<Request>>) {
        let (writes, queue) = mpsc::channel(WRITE_QUEUE);
        let mut state = self.state.borrow_mut();
        state.next_call += 1;
        let number = state.next_call;
        let reading = tokio::task::spawn_local(read(Rc::downgrade(&self), reader, number));
        let writing = tokio::task::spawn_local(write(queue, writer));
        state.failed_at = None;
        let (heard, tasks) = (Instant::now(), [reading, writing]);
        state.link = Some(Link {
            number,
            heard,
            writes: writes.clone(),
            tasks,
        });
        (number, writes)
    }

    /// All calls that wait on the connection end without an answer.
    fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.link = None;
        state.waiting.clear();
    }

    /// An answer came; who waits for it, if anyone still does.
    fn heard(&self, number: u64, call: u64) -> Option<oneshot::Sender<Reply>> {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.link.as_mut().filter(|link| link.number == number) {
            link.heard = Instant::now();
        }
        state.waiting.remove(&call)
    }

    /// A call that began at `begun` timed out. If nothing at all has come since, the connection may be dead;
    /// otherwise the peer is only slow with this one call, and the others go on.
    fn suspect_if_silent(&self, number: u64, begun: Instant) {
        let silent = self
            .state
            .borrow()
            .link
            .as_ref()
            .is_some_and(|link| link.heard <= begun);
        if silent {
            self.suspect(number);
        }
    }

    /// This connection is dead: later calls use a new one, those under way get no answer.
    fn suspect(&self, number: u64) {
        let held = self.state.borrow().link.as_ref().map(|link| link.number);
        if held == Some(number) {
            self.close();
        }
    }
}

async fn read<Request: Serialize + 'static, Reply: DeserializeOwned + 'static>(
    shared: std::rc::Weak<Shared<Request, Reply>>,
    mut reader: FrameReader,
    number: u64,
) {
    while let Ok(envelope) = reader.next::<Envelope<Reply>>().await {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let waiting = shared.heard(number, envelope.call);
        if let Some(answer) = waiting {
            // The caller may have stopped waiting.
            let _ = answer.send(envelope.body);
        }
    }
    if let Some(shared) = shared.upgrade() {
        shared.suspect(number);
    }
}

async fn write<Request: Serialize>(
    mut queue: mpsc::Receiver<Envelope<Request>>,
    mut writer: FrameWriter,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        if writer.send_all(&batch).await.is_err() {
            return;
        }
        batch.clear();
    }
}

/// Forgets a call that nobody waits for any more.
struct Forget<'a, Request, Reply> {
    shared: &'a Rc<Shared<Request, Reply>>,
    call: u64,
}

impl<Request, Reply> Drop for Forget<'_, Request, Reply> {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().waiting.remove(&self.call);
    }
}
