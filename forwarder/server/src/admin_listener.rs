//! The admin address: one request a connection, answered within a second whatever clients do. It has a task, a few
//! connections and descriptors of its own. A caller that holds a connection without a complete request is closed in
//! bounded time, and sooner, the longest wait first, if others come.
//!
//! Spawned by `server` where `PROXY_MGMT` is set; commands go to the event loop.

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

/// Connections at once; their descriptors are set aside.
pub const MAX_ADMIN_CONNECTIONS: usize = 16;
/// A request is complete after so long, or its connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Responses are owed within a second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// What a caller still sends behind its response is read for so long, so that the response is not lost with a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// A head, and a body that means nothing.
const MAX_REQUEST_BYTES: usize = 8 * 1024;

/// What a connection waits for, in the order in which connections make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WaitReason {
    /// The caller's close, behind its response.
    Close,
    /// The rest of a request.
    Request,
}

/// Why a wait ended without what was waited for.
enum WaitEnded {
    TimedOut,
    /// Another caller needed the place.
    MadeRoom,
}

/// Order in which waiting connections make room: by reason, then by the connection's number.
type WaitKey = (WaitReason, u64);

/// A response without a body.
struct Response {
    status: u16,
    /// The one method that the path takes, for 405.
    allowed: Option<&'static str>,
}

impl Response {
    fn status(status: u16) -> Self {
        Response {
            status,
            allowed: None,
        }
    }

    /// None if the response cannot be encoded.
    fn encode(&self) -> Option<Vec<u8>> {
        let mut fields: Vec<(&str, &dyn Display)> = vec![("Connection", &"close")];
        if let Some(allowed) = &self.allowed {
            fields.push(("Allow", allowed));
        }
        let mut encoded = Vec::with_capacity(128);
        http1::response(&mut encoded, self.status, &fields, 0).ok()?;
        Some(encoded)
    }
}

#[derive(Clone)]
struct AdminListener {
    context: ServerContext,
    to_event_loop: Sender<Input>,
    open: Rc<Cell<usize>>,
    /// Connections that wait for their caller, in the order in which they make room: one whose sender is dropped ends.
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
        let Some(counted) = admin.make_room().await else {
            // None waits: all are being answered.
            if let Some(response) = Response::status(503).encode() {
                lingering_close::reject(&stream, &response);
            }
            continue;
        };
        last_number += 1;
        let serving = admin.clone().serve(stream, last_number, counted);
        admin.context.executor.spawn(serving).detach();
        // Of many that come at once each is read before another needs its place.
        future::yield_now().await;
    }
}

impl AdminListener {
    async fn make_room(&self) -> Option<CountGuard> {
        while self.open.get() >= MAX_ADMIN_CONNECTIONS
            && self.waiting.borrow_mut().pop_first().is_some()
        {
            // The connection that made room ends now.
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
            // A connection that made room has no request: all that lay in it was read.
            Err(WaitEnded::MadeRoom) | Ok(Err(ReadError::Disconnected)) => return,
            Err(WaitEnded::TimedOut) => Response::status(408),
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
    /// Why the wait ended first.
    async fn wait<T>(
        &self,
        key: WaitKey,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitEnded> {
        let (keeps_waiting, made_room) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(key, keeps_waiting);
        let made_room = async {
            let _ = made_room.recv().await;
            Err(WaitEnded::MadeRoom)
        };
        let completed = async { Ok(future.await) };
        let first = until(deadline, future::or(completed, made_room)).await;
        self.waiting.borrow_mut().remove(&key);
        first.unwrap_or(Err(WaitEnded::TimedOut))
    }

    async fn run_command(&self, command: AdminCommand) -> Response {
        let (reply, replies) = async_channel::bounded(1);
        let replied = async {
            let input = Input::AdminCommand { command, reply };
            self.to_event_loop.send(input).await.ok()?;
            replies.recv().await.ok()
        };
        // A command that was answered with a failure is not carried out later: the event loop sees that nobody waits
        // any more.
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
    /// The caller ended the connection before its request was complete.
    Disconnected,
    Malformed,
}

/// Reads one request with the body that it may have.
///
/// # Errors
/// There is no complete request; what a complete one asks for is the inner result.
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
