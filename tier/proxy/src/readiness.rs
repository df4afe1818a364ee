//! Serves the readiness check at `/-/ready` of a separate listener: whether this proxy accepts new
//! clients.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::listener::ACCEPT_BACKOFF;
use crate::process::Proxy;
use crate::response_body::ResponseBody;

/// The path of the readiness check.
const PATH: &str = "/-/ready";

/// Serves readiness checks forever.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        tokio::task::spawn_local(serve_connection(proxy.clone(), stream));
    }
}

/// Whether the proxy accepts new clients: the tables are current, they contain a configuration, and
/// the node is not draining.
pub fn is_ready(proxy: &Proxy) -> bool {
    let lifecycle = &proxy.lifecycle;
    lifecycle.has_current_tables()
        && !lifecycle.is_draining()
        && proxy.snapshots.newest().routes.is_some()
}

async fn serve_connection(proxy: Rc<Proxy>, stream: TcpStream) {
    let service = service_fn(|request| {
        let response = respond(&proxy, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).auto_date_header(false);
    // An error on the caller's connection has no effect on readiness.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn respond(proxy: &Proxy, request: &Request<Incoming>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = match request.uri().path() {
        PATH if is_ready(proxy) => StatusCode::OK,
        PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}
