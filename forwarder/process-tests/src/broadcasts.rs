//! Broadcasts to the list `all`, which has a destination for each target.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::trace::TraceRecord;
use crate::{http, wait_until, Answer, Cluster, ClusterOptions};

const FANOUT_CONFIG: &str =
    "[fanout]\ncohorts = 2\nkeep_for_one = 200\n[fanout.lists]\nall = [1, 2]\n";

/// Outcome of one copy of a broadcast: its calls, deliveries and notifications.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyOutcome {
    /// Number of calls.
    pub calls: usize,
    /// Number of calls answered with 200.
    pub delivered: usize,
    /// Number of notifications.
    pub notified: usize,
}

impl Cluster {
    /// Starts `instances` instances, and waits until each of them accepts broadcasts.
    pub fn broadcasting(instances: usize) -> Cluster {
        let mut cluster = Cluster::new(instances, &ClusterOptions::with_fanout(FANOUT_CONFIG));
        cluster.start_all();
        (0..instances).for_each(|instance| cluster.wait_until_broadcasting(instance));
        cluster
    }

    /// Waits until the instance accepts a broadcast.
    pub fn wait_until_broadcasting(&self, instance: usize) {
        let mut number = 0;
        wait_until(&format!("n{instance} accepts broadcasts"), || {
            number += 1;
            let id = format!("probe-{instance}-{:.0}-{number}", self.trace.now());
            self.broadcast(instance, "job", &id, None) == Answer::Accepted
        });
    }

    /// Submits a broadcast to the list `all`.
    pub fn broadcast(&self, instance: usize, traffic: &str, id: &str, key: Option<u64>) -> Answer {
        match self.request_broadcast(instance, &format!("all/{traffic}"), id, key) {
            Some(202) => Answer::Accepted,
            Some(503) => Answer::Rejected,
            Some(other) => Answer::Failed(other),
            None => Answer::NoResponse,
        }
    }

    /// Sends a broadcast request to an instance; returns the status of the response, if there is one.
    pub fn request_broadcast(
        &self,
        instance: usize,
        path: &str,
        id: &str,
        key: Option<u64>,
    ) -> Option<u16> {
        let key = key.map_or(String::new(), |key| format!("Cookie: about={key:x}\r\n"));
        let request = format!(
            "POST /broadcast/{path} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 6\r\n\
             Idempotency-Key: f-{id}\r\n{key}Content-Length: 4\r\n\r\nbody"
        );
        let timeout = Duration::from_secs(20);
        let mut stream = TcpStream::connect_timeout(&self.address(instance), timeout).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        http::read(&mut BufReader::new(stream))
            .ok()
            .map(|answer| answer.status())
    }

    /// The outcomes of a broadcast's copies, in the order of their destinations.
    pub fn copy_outcomes(&self, id: &str) -> Vec<CopyOutcome> {
        // The ids are fetched after the records, so that every event in the records has its id.
        let all = self.trace.records();
        let ids = self.trace.event_ids();
        let mut event_of_call: BTreeMap<u64, u64> = BTreeMap::new();
        let mut copies: BTreeMap<String, CopyOutcome> = BTreeMap::new();
        for (_, record) in &all {
            match record {
                TraceRecord::CallStarted { call, event, .. } => {
                    event_of_call.insert(*call, *event);
                    copies.entry(ids[event].clone()).or_default().calls += 1;
                }
                TraceRecord::CallAnswered { call, status: 200 } => {
                    copies
                        .entry(ids[&event_of_call[call]].clone())
                        .or_default()
                        .delivered += 1;
                }
                TraceRecord::NotificationReceived { event, .. } => {
                    copies.entry(ids[event].clone()).or_default().notified += 1
                }
                _ => (),
            }
        }
        let outcome = |destination: usize| {
            copies
                .get(&format!("{id}~{destination}"))
                .copied()
                .unwrap_or_default()
        };
        (1..=self.targets.len()).map(outcome).collect()
    }

    /// Waits until each copy of the broadcast is delivered or has a notification.
    pub fn wait_until_completed(&self, id: &str) {
        wait_until(&format!("all copies of {id} are completed"), || {
            self.copy_outcomes(id)
                .iter()
                .all(|copy| copy.delivered + copy.notified > 0)
        });
    }
}
