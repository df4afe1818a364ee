//! The HTTP server of the admin interface.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use plankhill_protocol::transport::set_socket_options;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::body::{BodyBudget, ReadableBody};
use super::response::{error, AdminResponse};
use super::router::{route, Call};
use super::{configuration, drains, instances, retire, status};
use crate::control_log::ControlLog;
use crate::controller::Controller;
use crate::limited_listener::{AcceptedConnection, LimitedListener};

/// Timeout for receiving the head of a request, measured from the end of the previous call. Callers
/// with a persistent connection send a heartbeat about every second.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// Memory budget for the bodies being read, in bytes: an eighth of the memory of a small machine.
const BODY_BUDGET_BYTES: usize = 32 << 20;

/// Accepts connections until `shutting_down` is true. Connections that are open at that time are
/// closed after their current call.
pub async fn serve_admin<L: ControlLog>(
    controller: Rc<Controller<L>>,
    listener: TcpListener,
    mut shutting_down: watch::Receiver<bool>,
) {
    let budget = BodyBudget::new(BODY_BUDGET_BYTES);
    let listener = LimitedListener::new(listener);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutting_down.wait_for(|shutting_down| *shutting_down) => return,
        };
        let (controller, budget) = (controller.clone(), budget.clone());
        spawn_local(serve_connection(
            controller,
            budget,
            accepted,
            shutting_down.clone(),
        ));
    }
}

async fn serve_connection<L: ControlLog>(
    controller: Rc<Controller<L>>,
    budget: BodyBudget,
    accepted: AcceptedConnection,
    mut shutting_down: watch::Receiver<bool>,
) {
    let AcceptedConnection {
        stream,
        address,
        permit: _permit,
    } = accepted;
    if set_socket_options(&stream).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let controller = controller.clone();
        let budget = budget.clone();
        async move { Ok::<_, Infallible>(handle_request(&controller, &budget, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%address, %error, "admin connection failed");
    }
}

/// Responds to one request.
pub async fn handle_request<L: ControlLog>(
    controller: &Controller<L>,
    budget: &BodyBudget,
    request: Request<impl ReadableBody>,
) -> AdminResponse {
    let call = match route(request.method(), request.uri().path()) {
        Ok(call) => call,
        Err(status) => return error(status, status.canonical_reason().unwrap_or("refused")),
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
