//! Answers whether this proxy takes new clients.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::body::AnswerBody;
use crate::listener::ACCEPT_PAUSE;
use crate::process::Proxy;

/// The path of the question.
const PATH: &str = "/-/ready";

/// Answers for ever.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = respond(&proxy, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).auto_date_header(false);
            // How a caller's connection ends is its own matter.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Whether new clients are welcome.
pub fn is_ready(proxy: &Proxy) -> bool {
    let life = &proxy.life;
    life.is_current() && !life.turns_away() && proxy.snapshots.newest().routes.is_some()
}

fn respond(proxy: &Proxy, request: &Request<Incoming>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = match (request.uri().path(), is_ready(proxy)) {
        (PATH, true) => StatusCode::OK,
        (PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}
