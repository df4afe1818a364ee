//! Stub targets, which run in this process; their event streams carry the digest of the prompt.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::target_handler::handle_request;

/// One stub target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) executions: Arc<Executions>,
}

/// The requests that the targets have executed.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    record: Mutex<ExecutionRecord>,
}

#[derive(Debug, Default)]
struct ExecutionRecord {
    ids: HashSet<String>,
    repeated: usize,
}

impl Executions {
    /// Records an execution of the request `id`.
    pub(crate) fn record(&self, id: &str) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        if !record.ids.insert(id.to_owned()) {
            record.repeated += 1;
        }
    }

    /// Number of executions beyond the first of each request id.
    pub(crate) fn repeated_count(&self) -> usize {
        self.record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .repeated
    }
}

/// Listens on the target's address and serves requests in a background task.
pub(crate) async fn serve(target: Arc<Target>) -> std::io::Result<()> {
    let listener = TcpListener::bind(target.address).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let target = target.clone();
            let service = service_fn(move |request| handle_request(target.clone(), request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(())
}
