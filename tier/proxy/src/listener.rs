//! Accepts clients and serves their connections.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use plankhill_dispatch::Ms;
use plankhill_protocol::transport::set_socket_options;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::body::AnswerBody;
use crate::client_stream::{ClientStream, Exchange};
use crate::clock::duration;
use crate::facts::{number, Facts};
use crate::headers::DEADLINE_MS;
use crate::intake::{take_in, Job, Rejection};
use crate::life::{Connections, Life};
use crate::process::Proxy;
use crate::snapshot::Snapshot;
use crate::{answer, plain, stream};

/// After a failed accept (no descriptor is left), connections that are open get this time to end.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A request waits for the first tables for this share of its time.
const SHARE_FOR_TABLES: f64 = 0.25;
/// A request waits for the first tables no longer than this.
const LONGEST_WAIT_FOR_TABLES: Duration = Duration::from_millis(1_200);
/// What a client is told while the tables are not there yet, in milliseconds.
const PAUSE_UNTIL_READY: f64 = 200.0;
/// What a client is told while there is no memory for its request, in milliseconds.
const PAUSE_WHEN_FULL: f64 = 300.0;
/// What a client is told that comes to a process that ends, in milliseconds: its next connection meets another one.
const PAUSE_WHEN_ENDING: f64 = 20.0;
/// Largest head while no configuration says otherwise.
const MOST_HEADER_BYTES: usize = 64 * 1024;
/// The smallest buffer that the HTTP library takes.
const LEAST_HEADER_BYTES: usize = 8 * 1024;
/// Clients may rest this long while no configuration says otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts for ever, with at most `most_clients` connections at once; further ones wait in the system's queue.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener, most_clients: usize) {
    let places = Arc::new(tokio::sync::Semaphore::new(most_clients));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            serve_connection(proxy, stream).await;
            drop(place);
        });
    }
}

async fn serve_connection(proxy: Rc<Proxy>, stream: TcpStream) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    let open = proxy.life.begin_connection();
    let exchange = Exchange::new(proxy.life.clone());
    let builder = builder(&proxy.snapshots.newest());
    let service = service_fn(|request| {
        let (proxy, exchange) = (proxy.clone(), exchange.clone());
        async move { Ok::<_, Infallible>(respond(proxy, &exchange, request).await) }
    });
    let stream = ClientStream::new(stream, exchange.clone());
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut cut = proxy.life.connections();
    let ended = tokio::select! {
        biased;
        _ = cut.wait_for(|wanted| *wanted == Connections::Cut) => return,
        ended = &mut connection => Some(ended),
        () = closes_at_rest(&proxy.life, &exchange) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                biased;
                _ = cut.wait_for(|wanted| *wanted == Connections::Cut) => return,
                ended = &mut connection => ended,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a client ended");
    }
    let stream = connection.into_parts().io.into_inner();
    drop(open);
    stream.close().await;
}

/// Returns when a connection that was open before that moment is to be closed at rest, or behind the answer under
/// way. Where a part of a request has come the library would drop it: such a connection closes behind its answer,
/// which says so, and one that is opened later behind its first answer.
async fn closes_at_rest(life: &Life, exchange: &Exchange) {
    let mut connections = life.connections();
    let is_old = *connections.borrow_and_update() < Connections::CloseIdle;
    let _ = connections
        .wait_for(|wanted| *wanted >= Connections::CloseIdle)
        .await;
    if !is_old || exchange.is_arriving() {
        std::future::pending::<()>().await;
    }
}

/// The library's time for a head also covers the rest between two requests. Later configurations may allow a
/// longer rest than the one at the connection's start, so that it is generous.
fn builder(snapshot: &Snapshot) -> http1::Builder {
    let limits = snapshot.routes.as_ref().map(|routes| *routes.limits());
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.header_timeout) * 2
    });
    let head = limits.map_or(MOST_HEADER_BYTES, |limits| {
        usize::try_from(limits.max_header_bytes).unwrap_or(MOST_HEADER_BYTES)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .auto_date_header(false);
    builder
        .max_header_size(head)
        .max_buf_size(head.max(LEAST_HEADER_BYTES) * 2);
    builder
}

async fn respond(
    proxy: Rc<Proxy>,
    exchange: &Exchange,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let work = proxy.life.begin_work();
    exchange.begin();
    let arrived = proxy.clock.now();
    let mut response = answered(&proxy, request, arrived).await;
    if proxy.life.turns_away() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    exchange.answered();
    drop(work);
    response
}

async fn answered(
    proxy: &Rc<Proxy>,
    request: Request<Incoming>,
    arrived: Ms,
) -> Response<AnswerBody> {
    let Some(snapshot) = current_snapshot(proxy, &request).await else {
        return answer::refused(
            PAUSE_UNTIL_READY,
            Facts::of(request.headers()).request_id.as_ref(),
        );
    };
    match take_in(proxy, request, &snapshot, arrived).await {
        Ok(job) => answer_to(proxy, job).await,
        Err((Rejection::Final(status), id)) => answer::empty(status, id.as_ref()),
        Err((Rejection::Overloaded, id)) => answer::refused(PAUSE_WHEN_FULL, id.as_ref()),
        Err((Rejection::Ending, id)) => {
            proxy.life.count_turned_away();
            answer::refused(PAUSE_WHEN_ENDING, id.as_ref())
        }
    }
}

/// The newest snapshot that requests may be served by. After a start, when all machines may have started
/// together, the tables come within a second: a request waits for them rather than costing its client a try.
async fn current_snapshot(proxy: &Proxy, request: &Request<Incoming>) -> Option<Rc<Snapshot>> {
    if !proxy.life.is_current() {
        let deadline: Option<Ms> = number(request.headers(), DEADLINE_MS.as_str());
        let share = duration(deadline.unwrap_or(0.0) * SHARE_FOR_TABLES);
        let _ = timeout(share.min(LONGEST_WAIT_FOR_TABLES), proxy.life.current()).await;
    }
    let snapshot = proxy.snapshots.newest();
    (proxy.life.is_current() && snapshot.routes.is_some()).then_some(snapshot)
}

async fn answer_to(proxy: &Rc<Proxy>, job: Job) -> Response<AnswerBody> {
    if job.route.is_streaming() {
        stream::serve(proxy, job).await
    } else {
        plain::serve(proxy, job).await
    }
}
