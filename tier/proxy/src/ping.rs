//! Health checks, when the dispatcher asks for them.

use std::rc::Rc;
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
use crate::facts::text;
use crate::headers::INSTANCE_ID;
use crate::orders::PingOrder;
use crate::process::Proxy;
use crate::snapshot::Snapshot;

/// A health check waits for a slot as a request does; longer than this the target is not well.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Connections to one target that a check may be the last of: checks do not wait behind requests.
const MOST_CONNECTIONS: usize = usize::MAX;

/// Carries out the orders. Never returns while the process runs.
pub async fn carry_out(proxy: Rc<Proxy>, mut orders: mpsc::UnboundedReceiver<PingOrder>) {
    while let Some(order) = orders.recv().await {
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let healthy = ping(&proxy, &order).await.is_some();
            let answer = if healthy {
                HealthCheckResult::Healthy
            } else {
                HealthCheckResult::Unhealthy
            };
            proxy.admission.pinged(&order.target, answer);
        });
    }
}

async fn ping(proxy: &Proxy, order: &PingOrder) -> Option<()> {
    let path = health_check(&proxy.snapshots.newest(), &order.target)?;
    let until = Instant::now() + TIMEOUT;
    let pool = &proxy.targets.pool;
    let permit = pool.permit(&order.target, MOST_CONNECTIONS)?;
    let mut connection = timeout_at(until, connect(order.address, permit))
        .await
        .ok()?
        .ok()?;
    let request = Request::get(&*path).header(HOST, order.address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = timeout_at(until, connection.sender.send_request(request))
        .await
        .ok()?
        .ok()?;
    let right = text(response.headers(), INSTANCE_ID.as_str()) == Some(order.target.as_str());
    (response.status() == StatusCode::OK && right).then_some(())
}

fn health_check(snapshot: &Snapshot, target: &InstanceId) -> Option<std::sync::Arc<str>> {
    let target = snapshot
        .tables
        .targets
        .iter()
        .find(|listed| listed.id == *target)?;
    let service = snapshot.routes.as_ref()?.service(target.service.as_str())?;
    Some(service.health_check.clone())
}
