//! Stand-in targets: they serve requests in this process and answer with the digest of the prompt.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::target_answer::answer;

/// One stand-in target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) address: SocketAddr,
    pub(crate) executions: Arc<Executions>,
}

/// Which requests the targets have executed.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    ids: HashSet<String>,
    repeated: usize,
}

impl Executions {
    /// Records that the request `id` is executed.
    pub(crate) fn record(&self, id: &str) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if !seen.ids.insert(id.to_owned()) {
            seen.repeated += 1;
        }
    }

    /// How often a request was executed again.
    pub(crate) fn repeated(&self) -> usize {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .repeated
    }
}

/// Listens at the target's address and serves in the background.
pub(crate) async fn serve(target: Arc<Target>) -> std::io::Result<()> {
    let listener = TcpListener::bind(target.address).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let target = target.clone();
            let service = service_fn(move |request| answer(target.clone(), request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(())
}
