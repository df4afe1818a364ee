//! Sends health checks to targets when the dispatcher asks for them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use plankhill_dispatch::HealthCheckResult;
use plankhill_protocol::ids::InstanceId;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use crate::connect::connect;
use crate::decision::HealthCheckRequest;
use crate::headers::INSTANCE_ID;
use crate::process::Proxy;
use crate::request_headers::text;
use crate::snapshot::Snapshot;

/// A health check waits for a slot as a request does; a target that takes longer is unhealthy.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(900);
/// Health checks do not wait for connections of requests: the bound on connections is not theirs.
const MAX_CONNECTIONS: usize = usize::MAX;

/// Sends the health checks. Never returns while the process runs.
pub async fn run(proxy: Rc<Proxy>, mut checks: mpsc::UnboundedReceiver<HealthCheckRequest>) {
    while let Some(check) = checks.recv().await {
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let result = match answer_instance(&proxy, &check).await {
                Some(instance) if instance == check.target => HealthCheckResult::Healthy,
                Some(_) | None => HealthCheckResult::Unhealthy,
            };
            proxy.admission.on_health_check_ended(&check.target, result);
        });
    }
}

/// The `Instance-Id` of an answer with status 200; none for any other answer, or without one.
async fn answer_instance(proxy: &Proxy, check: &HealthCheckRequest) -> Option<InstanceId> {
    let path = health_check_path(&proxy.snapshots.newest(), &check.target)?;
    let until = Instant::now() + HEALTH_CHECK_TIMEOUT;
    let permit = proxy
        .target_client
        .pool
        .permit(&check.target, MAX_CONNECTIONS)?;
    let connecting = connect(check.address, permit);
    let mut connection = timeout_at(until, connecting).await.ok()?.ok()?;
    let request = Request::get(&*path).header(HOST, check.address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let sending = connection.sender.send_request(request);
    let response = timeout_at(until, sending).await.ok()?.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    text(response.headers(), INSTANCE_ID.as_str()).map(InstanceId::from)
}

fn health_check_path(snapshot: &Snapshot, target: &InstanceId) -> Option<Arc<str>> {
    let target = snapshot
        .tables
        .targets
        .iter()
        .find(|listed| listed.id == *target)?;
    let service = snapshot.routes.as_ref()?.service(target.service.as_str())?;
    Some(service.health_check.clone())
}
