//! Test double of the discovery agents, one on each instance's machine: serves the list of targets with the addresses
//! for that instance, watches of the list, and notifications.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::trace::{Trace, TraceRecord};
use plankhill_test_relay::ThreadedListener;

use crate::http;

/// A target in the list.
struct Member {
    cell: u64,
    phase: &'static str,
    /// The address for each instance.
    addresses: Vec<SocketAddr>,
}

/// The current list and the behavior of discovery.
struct State {
    revision: u64,
    members: Vec<Member>,
    /// The latest revision that each instance has acknowledged.
    acknowledged_revisions: Vec<u64>,
    rejects_notifications: bool,
}

/// The agent, shared by the listeners of all instances.
struct Agent {
    trace: Trace,
    state: Mutex<State>,
}

/// A running test double of discovery, with a listener for each instance.
pub struct Discovery {
    agent: Arc<Agent>,
    listeners: Vec<ThreadedListener>,
}

impl Discovery {
    /// Starts discovery. `targets`: the cell of each target, and its address for each instance.
    pub fn new(instances: usize, targets: Vec<(u64, Vec<SocketAddr>)>, trace: &Trace) -> Discovery {
        let member = |(cell, addresses)| Member {
            cell,
            phase: "up",
            addresses,
        };
        let members = targets.into_iter().map(member).collect();
        let state = Mutex::new(State {
            revision: 41,
            members,
            acknowledged_revisions: vec![0; instances],
            rejects_notifications: false,
        });
        let agent = Arc::new(Agent {
            trace: trace.clone(),
            state,
        });
        let listener = |instance| {
            let agent = agent.clone();
            ThreadedListener::open(move |stream| agent.serve(stream, instance))
        };
        let listeners = (0..instances).map(listener).collect();
        Discovery { agent, listeners }
    }

    /// The address at which an instance reaches its agent.
    pub fn address_for(&self, instance: usize) -> SocketAddr {
        self.listeners[instance].address
    }

    /// Sets whether notifications are answered with 500.
    pub fn set_rejects_notifications(&self, rejects_notifications: bool) {
        self.agent.state().rejects_notifications = rejects_notifications;
    }

    /// Changes the phase of a target in the list.
    pub fn set_phase(&self, target: usize, phase: &'static str) {
        let mut state = self.agent.state();
        state.members[target].phase = phase;
        state.revision += 1;
    }

    /// Whether each instance has read the current list: it has requested changes since the current revision.
    pub fn is_list_acknowledged(&self) -> bool {
        let state = self.agent.state();
        state
            .acknowledged_revisions
            .iter()
            .all(|acknowledged| *acknowledged >= state.revision)
    }

    /// The current list with the addresses for an instance.
    pub fn list_for(&self, instance: usize) -> Value {
        self.agent.state().list(instance)
    }
}

impl State {
    fn list(&self, instance: usize) -> Value {
        let member = |(number, member): (usize, &Member)| {
            json!({"id": format!("t{number}"), "host_port": member.addresses[instance].to_string(),
                "locality": "z", "flavor": "k", "cell": member.cell, "phase": member.phase})
        };
        let members: Vec<Value> = self.members.iter().enumerate().map(member).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }
}

impl Agent {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, stream: TcpStream, instance: usize) {
        let mut from = BufReader::new(stream);
        while http::has_next_message(&mut from) {
            let Ok(message) = http::read(&mut from) else {
                return;
            };
            let (status, body) = match message.starts_with("POST /status ") {
                true => (self.receive_notifications(&message), String::new()),
                false => match self.watch(&message, from.get_ref(), instance) {
                    Some(list) => (200, list.to_string()),
                    None => return,
                },
            };
            if http::write_response(from.get_mut(), status, "", &body).is_err() {
                return;
            }
        }
    }

    fn receive_notifications(&self, message: &http::Message) -> u16 {
        if self.state().rejects_notifications {
            return 500;
        }
        for line in String::from_utf8_lossy(&message.body).lines() {
            let notification: Value = serde_json::from_str(line).expect("one JSON value per line");
            let event = self
                .trace
                .event_number(notification["message"].as_str().expect("an id"));
            self.trace.record(TraceRecord::NotificationReceived {
                event,
                is_abandoned: notification["outcome"] == "given_up",
            });
        }
        204
    }

    /// Returns the list once it is newer than the requested revision or the request's timeout ends; `None` if the
    /// connection closes.
    fn watch(&self, message: &http::Message, stream: &TcpStream, instance: usize) -> Option<Value> {
        let path = message.head.split(' ').nth(1).unwrap_or_default();
        let query_parameter = |name: &str| -> Option<u64> {
            let fields = path.split(['?', '&']);
            fields
                .filter_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
                .next()
        };
        let wait = Duration::from_millis(query_parameter("timeout_ms").unwrap_or(0));
        let (since, by) = (query_parameter("since").unwrap_or(0), Instant::now() + wait);
        self.state().acknowledged_revisions[instance] = since;
        while self.state().revision <= since && Instant::now() < by {
            if http::is_closed(stream) {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
        let state = self.state();
        for (target, member) in state.members.iter().enumerate() {
            self.trace.record(TraceRecord::TargetListed {
                instance,
                target,
                is_draining: member.phase != "up",
            });
        }
        Some(state.list(instance))
    }
}
