//! Hollow targets: heartbeats over connections that many of them share.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use plankhill_demo::configuration::MODELS;
use plankhill_demo::layout::ZONES;
use plankhill_demo::settings_file::HEARTBEAT_MS;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, MissedTickBehavior};

/// Targets whose heartbeats share a connection: controllers take 1,024 connections each.
const SHARING: usize = 50;
/// Pause before a connection that broke is made anew.
const PAUSE: Duration = Duration::from_millis(200);

/// Hollow targets of one run.
pub struct Targets {
    beating: Rc<Cell<usize>>,
    acknowledged: Rc<Cell<u64>>,
}

impl Targets {
    /// Starts so many, spread over these controllers.
    pub fn start(count: usize, controllers: &[SocketAddr]) -> Self {
        let beating = Rc::new(Cell::new(count));
        let acknowledged = Rc::new(Cell::new(0));
        for first in (0..count).step_by(SHARING) {
            let controller = controllers[(first / SHARING) % controllers.len()];
            let targets = first..(first + SHARING).min(count);
            tokio::task::spawn_local(beat(targets, controller, beating.clone(), acknowledged.clone()));
        }
        Targets { beating, acknowledged }
    }

    /// Heartbeats that were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.get()
    }

    /// Some fall silent at once.
    pub fn lose(&self, count: usize) {
        self.beating.set(self.beating.get().saturating_sub(count));
    }
}

/// Sends the heartbeats of a few targets, evenly spread over time, for ever.
async fn beat(
    targets: std::ops::Range<usize>,
    controller: SocketAddr,
    beating: Rc<Cell<usize>>,
    acknowledged: Rc<Cell<u64>>,
) {
    let mut ticks = interval(Duration::from_millis(HEARTBEAT_MS) / targets.len().max(1) as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut connection = None;
    for sequence in 1_u64.. {
        for number in targets.clone() {
            ticks.tick().await;
            if number >= beating.get() {
                continue;
            }
            if send(&mut connection, controller, number, sequence).await {
                acknowledged.set(acknowledged.get() + 1);
            } else {
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn send(
    connection: &mut Option<SendRequest<Full<Bytes>>>,
    controller: SocketAddr,
    number: usize,
    sequence: u64,
) -> bool {
    if connection.is_none() {
        *connection = connect(controller).await;
    }
    let Some(sender) = connection else { return false };
    let body = json!({
        "service": MODELS, "address": format!("10.{}.{}.{}:80", number >> 16, number >> 8 & 255, number & 255),
        "zone": ZONES[number % ZONES.len()], "version": "v1", "capacity": 8, "state": "healthy",
        "cold_remaining_ms": 0, "sequence": sequence
    });
    let request = Request::builder()
        .method(Method::PUT)
        .uri(format!("/-/instances/h-{number}"))
        .header(HOST, controller.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return false };
    let Ok(answer) = sender.send_request(request).await else { return false };
    let status = answer.status();
    answer.into_body().collect().await.is_ok() && status == StatusCode::OK
}

async fn connect(controller: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(controller).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        // Its end is seen by the next heartbeat.
        let _ = connection.await;
    });
    Some(sender)
}
