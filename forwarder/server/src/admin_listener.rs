//! Listener of the admin address: one request per connection, answered within a second regardless
//! of the load from clients. The listener has its own task, connection limit and descriptors. A
//! connection without a complete request is closed at a time limit, or earlier, the longest wait
//! first, to admit other connections.
//!
//! Spawned by `server` if `PROXY_MGMT` is set; commands are passed to the event loop.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, StreamExt};
use plankhill_admin::{parse_request, AdminCommand, AdminReply, AdminRequest, RequestError};
use plankhill_http1::{self as http1, HeadSearch, RequestHead};
use slog::warn;

use crate::context::ServerContext;
use crate::count_guard::CountGuard;
use crate::lingering_close;
use crate::messages::Input;
use crate::stream::{until, Stream};

/// Limit of concurrent connections; their descriptors are reserved.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// Time limit for a complete request; the connection is closed afterwards.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the event loop's reply: a response is due within a second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for reading bytes that arrive after the response, so that the response is not lost in
/// a connection reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Limit of a request's size: a head, and a body that is ignored.
const MAX_REQUEST_BYTES: usize = 8 * 1024;

/// Reason why a connection waits for its caller, in eviction order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaitReason {
    /// The caller closes the connection after its response.
    Close,
    /// The remainder of a request.
    Request,
}

/// Why a wait ended before its future completed.
enum WaitError {
    TimedOut,
    /// The connection was closed to admit another one.
    Evicted,
}

/// Eviction order of waiting connections: by reason, then by connection number.
type WaitKey = (WaitReason, u64);

/// A response without a body.
struct Response {
    status: u16,
    /// The method that the path accepts, for status 405.
    allowed: Option<&'static str>,
}

impl Response {
    fn status(status: u16) -> Self {
        Response {
            status,
            allowed: None,
        }
    }

    /// Encodes the response; `None` if that fails.
    fn encode(&self) -> Option<Vec<u8>> {
        let mut fields: Vec<(&str, &dyn Display)> = vec![("Connection", &"close")];
        if let Some(allowed) = &self.allowed {
            fields.push(("Allow", allowed));
        }
        let mut encoded = Vec::with_capacity(128);
        http1::write_response(&mut encoded, self.status, &fields, 0).ok()?;
        Some(encoded)
    }
}

#[derive(Clone)]
struct AdminListener {
    context: ServerContext,
    to_event_loop: Sender<Input>,
    open: Rc<Cell<usize>>,
    /// Connections that wait for their caller, in eviction order. A connection is closed when its
    /// sender is dropped.
    waiting: Rc<RefCell<BTreeMap<WaitKey, Sender<()>>>>,
}

/// Serves the admin address until the task is dropped.
pub async fn listen(
    context: ServerContext,
    listener: Async<TcpListener>,
    to_event_loop: Sender<Input>,
) {
    let admin = AdminListener {
        context,
        to_event_loop,
        open: Rc::default(),
        waiting: Rc::default(),
    };
    let mut incoming = Box::pin(listener.incoming());
    let mut last_number = 0;
    while let Some(accepted) = incoming.next().await {
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                warn!(admin.context.log, "admin connection cannot be accepted";
                    "error" => %error);
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        let Some(counted) = admin.admit_connection().await else {
            // No connection waits: all are being answered.
            if let Some(response) = Response::status(503).encode() {
                lingering_close::reject(&stream, &response);
            }
            continue;
        };
        last_number += 1;
        let serving = admin.clone().serve(stream, last_number, counted);
        admin.context.executor.spawn(serving).detach();
        // If many connections arrive at once, each is read before another one evicts it.
        future::yield_now().await;
    }
}

impl AdminListener {
    /// Evicts waiting connections if the limit is reached; `None` if none of them waits.
    async fn admit_connection(&self) -> Option<CountGuard> {
        while self.open.get() >= MAX_ADMIN_CONNECTIONS
            && self.waiting.borrow_mut().pop_first().is_some()
        {
            // The evicted connection ends while this task yields.
            future::yield_now().await;
        }
        CountGuard::try_new(&self.open, MAX_ADMIN_CONNECTIONS)
    }

    async fn serve(self, mut stream: Stream, number: u64, _counted: CountGuard) {
        let mut buffer = vec![0; MAX_REQUEST_BYTES];
        let deadline = Instant::now() + READ_TIMEOUT;
        let reading = read_request(&mut stream, &mut buffer);
        let response = match self
            .wait((WaitReason::Request, number), deadline, reading)
            .await
        {
            // An evicted connection has no complete request: all of its received bytes were read.
            Err(WaitError::Evicted) | Ok(Err(ReadError::Disconnected)) => return,
            Err(WaitError::TimedOut) => Response::status(408),
            Ok(Err(ReadError::Malformed)) => Response::status(400),
            Ok(Ok(request)) => self.respond(request).await,
        };
        let Some(encoded) = response.encode() else {
            return;
        };
        let written = until(Instant::now() + WRITE_TIMEOUT, stream.write_all(&encoded)).await;
        if matches!(written, Some(Ok(()))) {
            let deadline = Instant::now() + LINGER_TIMEOUT;
            let lingering = lingering_close::linger(&stream);
            let _ = self
                .wait((WaitReason::Close, number), deadline, lingering)
                .await;
        }
    }

    async fn respond(&self, request: Result<AdminRequest, RequestError>) -> Response {
        match request {
            Ok(AdminRequest::Readiness) if self.context.is_ready() => Response::status(200),
            Ok(AdminRequest::Readiness) => Response::status(503),
            Ok(AdminRequest::Command(command)) => self.run_command(command).await,
            Err(RequestError::UnknownPath) => Response::status(404),
            Err(RequestError::MethodNotAllowed { allowed }) => Response {
                status: 405,
                allowed: Some(allowed),
            },
            Err(RequestError::InvalidTargetId) => Response::status(400),
        }
    }

    /// Waits for the future until `deadline`.
    ///
    /// # Errors
    /// Why the wait ended before the future completed.
    async fn wait<T>(
        &self,
        key: WaitKey,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitError> {
        let (not_evicted, evicted) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(key, not_evicted);
        let evicted = async {
            let _ = evicted.recv().await;
            Err(WaitError::Evicted)
        };
        let completed = async { Ok(future.await) };
        let first = until(deadline, future::or(completed, evicted)).await;
        self.waiting.borrow_mut().remove(&key);
        first.unwrap_or(Err(WaitError::TimedOut))
    }

    async fn run_command(&self, command: AdminCommand) -> Response {
        let (reply, replies) = async_channel::bounded(1);
        let replied = async {
            let input = Input::AdminCommand { command, reply };
            self.to_event_loop.send(input).await.ok()?;
            replies.recv().await.ok()
        };
        // A command that is answered with a failure is not executed later: the event loop detects
        // that its reply channel is closed.
        let reply = until(Instant::now() + COMMAND_TIMEOUT, replied)
            .await
            .flatten();
        Response::status(match reply {
            Some(AdminReply::Done) => 200,
            Some(AdminReply::NeverListed) => 404,
            Some(AdminReply::NotRecorded) | None => 503,
        })
    }
}

enum ReadError {
    /// The caller closed the connection before its request was complete.
    Disconnected,
    Malformed,
}

/// Reads one request, including an optional body.
///
/// # Errors
/// There is no complete request. The inner result is that of parsing a complete one.
async fn read_request(
    stream: &mut Stream,
    buffer: &mut [u8],
) -> Result<Result<AdminRequest, RequestError>, ReadError> {
    let mut search = HeadSearch::default();
    let mut filled = 0;
    loop {
        if let Some(head_end) = search.end(&buffer[..filled]) {
            let head = RequestHead::read(&buffer[..head_end]).map_err(|_| ReadError::Malformed)?;
            let http1::Body::Length(length) = head.body else {
                return Err(ReadError::Malformed);
            };
            if length > (buffer.len() - head_end) as u64 {
                return Err(ReadError::Malformed);
            }
            if filled >= head_end + length as usize {
                return Ok(parse_request(head.method, head.path()));
            }
        }
        if filled == buffer.len() {
            return Err(ReadError::Malformed);
        }
        match stream.read(&mut buffer[filled..]).await {
            Ok(0) | Err(_) => return Err(ReadError::Disconnected),
            Ok(read) => filled += read,
        }
    }
}
