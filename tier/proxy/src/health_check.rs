//! Sends health checks to targets when the dispatcher requests them.

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
use crate::request_headers::header_text;
use crate::snapshot::Snapshot;

/// Timeout of a health check, which waits for a slot at the target like a request; a target that
/// takes longer is unhealthy.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(900);
/// Health checks do not wait for connections of requests: the limit on connections does not apply
/// to them.
const MAX_CONNECTIONS: usize = usize::MAX;

/// Executes the health checks received from `checks`. Never returns while the process runs.
pub async fn run(proxy: Rc<Proxy>, mut checks: mpsc::UnboundedReceiver<HealthCheckRequest>) {
    while let Some(check) = checks.recv().await {
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let result = match fetch_instance_id(&proxy, &check).await {
                Some(instance) if instance == check.target => HealthCheckResult::Healthy,
                Some(_) | None => HealthCheckResult::Unhealthy,
            };
            proxy.admission.on_health_check_ended(&check.target, result);
        });
    }
}

/// Returns the `Instance-Id` of a response with status 200; `None` for any other response, or if
/// there is no response.
async fn fetch_instance_id(proxy: &Proxy, check: &HealthCheckRequest) -> Option<InstanceId> {
    let path = health_check_path(&proxy.snapshots.newest(), &check.target)?;
    let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
    let permit = proxy
        .target_client
        .pool
        .acquire_permit(&check.target, MAX_CONNECTIONS)?;
    let connecting = connect(check.address, permit);
    let mut connection = timeout_at(deadline, connecting).await.ok()?.ok()?;
    let request = Request::get(&*path).header(HOST, check.address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let sending = connection.sender.send_request(request);
    let response = timeout_at(deadline, sending).await.ok()?.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    header_text(response.headers(), INSTANCE_ID.as_str()).map(InstanceId::from)
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
