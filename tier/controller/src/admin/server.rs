//! Accepts connections of the operator and of targets.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::answer::{failure, Answer};
use super::body::{BodyBudget, ReadableBody};
use super::router::{route, Call};
use super::{configuration, drains, instances, retire, status};
use crate::log::ControlLog;
use crate::process::Controller;

/// Connections at once; further ones are closed.
const CONNECTIONS: usize = 1_024;
/// Pause after a failed accept, so that other connections can end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the head of a request, counted from the end of the call before: callers that keep a connection send
/// a heartbeat every second or so.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// Memory for bodies that are being read: an eighth of a small machine's.
const BODY_BYTES: usize = 32 << 20;

/// Accepts connections until `ending` says true; those open then end with their present call.
pub async fn serve_admin<L: ControlLog>(
    controller: Rc<Controller<L>>,
    listener: TcpListener,
    mut ending: watch::Receiver<bool>,
) {
    let budget = BodyBudget::new(BODY_BYTES);
    let open = Rc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ending.wait_for(|ending| *ending) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > CONNECTIONS {
            continue;
        }
        let serving = serve_connection(controller.clone(), budget.clone(), stream, ending.clone());
        let place = open.clone();
        tokio::task::spawn_local(async move {
            serving.await;
            drop(place);
        });
    }
}

async fn serve_connection<L: ControlLog>(
    controller: Rc<Controller<L>>,
    budget: BodyBudget,
    stream: TcpStream,
    mut ending: watch::Receiver<bool>,
) {
    if plankhill_protocol::transport::set_socket_options(&stream).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let (controller, budget) = (controller.clone(), budget.clone());
        async move { Ok::<_, Infallible>(answer(&controller, &budget, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = ending.wait_for(|ending| *ending) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

/// Answers one request.
pub async fn answer<L: ControlLog>(
    controller: &Controller<L>,
    budget: &BodyBudget,
    request: Request<impl ReadableBody>,
) -> Answer {
    let call = match route(request.method(), request.uri().path()) {
        Ok(call) => call,
        Err(status) => return failure(status, status.canonical_reason().unwrap_or("refused")),
    };
    match call {
        Call::PutConfiguration => configuration::put(controller, budget, request).await,
        Call::GetConfiguration => configuration::get(controller).await,
        Call::Retire(node) => retire::start(controller, node, request.into_body()).await,
        Call::RetireProgress(node) => retire::progress(controller, node).await,
        Call::OrderDrain => drains::order(controller, request.into_body()).await,
        Call::ListDrains => drains::list(controller).await,
        Call::Heartbeat(id) => instances::heartbeat(controller, id, request.into_body()).await,
        Call::Deregister(id) => instances::deregister(controller, id).await,
        Call::Status => status::status(controller),
    }
}
