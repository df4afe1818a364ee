//! Options of a test cluster, and the configuration files generated from them.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Options of a test cluster that a test may change.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Disk limit of a forwarder, in megabytes.
    pub disk_mb: f64,
    /// Maximum number of open events of a forwarder.
    pub max_open_events: u64,
    /// Maximum number of attempts for an event.
    pub max_attempts: u64,
    /// Whether the event log of each instance is replicated to two others.
    pub replication: bool,
    /// The section `[fanout]` of the fleet file; empty means no broadcasts.
    pub fanout: &'static str,
    /// The policy for connection quotas; `Some` also enables the control group that grants them.
    pub quota_policy: Option<String>,
    /// Memory and disk that an instance uses for replicas of others, in megabytes.
    pub replica_mb: f64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            disk_mb: 3.0,
            max_open_events: 400,
            max_attempts: 12,
            replication: false,
            quota_policy: None,
            fanout: "",
            replica_mb: 64.0,
        }
    }
}

impl ClusterOptions {
    /// The defaults with replication.
    pub fn with_replication() -> ClusterOptions {
        ClusterOptions {
            replication: true,
            ..ClusterOptions::default()
        }
    }

    /// The defaults with broadcasts.
    pub fn with_fanout(fanout: &'static str) -> ClusterOptions {
        ClusterOptions {
            fanout,
            ..ClusterOptions::default()
        }
    }

    /// Whether the instances form a fleet.
    pub fn has_fleet_file(&self) -> bool {
        self.replication || self.quota_policy.is_some() || !self.fanout.is_empty()
    }

    /// The fleet file, with an address for each instance.
    pub fn fleet_file(&self, addresses: &[SocketAddr]) -> String {
        let mut text = String::from("fleet = \"stories\"\n");
        for (number, address) in addresses.iter().enumerate() {
            text += &format!(
                "[[instances]]\nname = \"n{number}\"\naddress = \"{address}\"\nmachine = \"m{number}\"\n"
            );
        }
        // A busy machine may starve a process for longer than the default timeouts allow.
        text += "[timing]\nheartbeat_ms = 100\nelection_ms = 2500\nstall_ms = 2000\nreplace_ms = 5000\n";
        if !self.fanout.is_empty() {
            let voters: Vec<String> = (0..addresses.len())
                .map(|number| format!("\"n{number}\""))
                .collect();
            return text
                + &format!(
                    "[control]\nvoters = [{}]\n{}",
                    voters.join(", "),
                    self.fanout
                );
        }
        if self.quota_policy.is_some() {
            text += "[control]\nvoters = [\"n0\", \"n1\", \"n2\"]\n[pools]\npolicy = \"pools.policy\"\n";
        }
        if !self.replication {
            return text;
        }
        text + &format!(
            "[copies]\nkeepers = 2\nmemory_mb = {0}\ndisk_mb = {0}\n",
            self.replica_mb
        )
    }

    /// The configuration of one process.
    pub fn config(
        &self,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        known_targets: Value,
    ) -> Value {
        let traffic = |name: &str, semantics: &str, ordered: bool| {
            json!({"name": name, "semantics": semantics, "aimUs": 1_000_000, "deadlineUs": 60_000_000, "credit": 1,
                "lateWorth": 0.1, "dedupScope": "all", "windowUs": DEDUP_WINDOW_US, "serialByKey": ordered})
        };
        json!({"name": name, "listen": listen.to_string(), "mgmt": "127.0.0.1:0",
            "discovery": discovery.to_string(), "seed": "7",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": self.disk_mb},
            "known": known_targets,
            "settings": {"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
                "allowed": {"attemptsCap": self.max_attempts, "maxOpen": self.max_open_events, "probes": true, "retryAfter": true,
                    "maxRetryAfterUs": 2_000_000},
                "familyInfo": {"slots": 8},
                "profiles": [traffic("job", "pure", false), traffic("order", "token", false),
                    traffic("charge", "side_effect", false), traffic("job-in-order", "pure", true),
                    traffic("order-in-order", "token", true), traffic("charge-in-order", "side_effect", true)],
                "rules": {"coldFrom": 0.2, "coldUs": 9_000_000, "tipMultiple": 2}}})
    }
}

/// Deduplication window of events with a token, in microseconds.
pub const DEDUP_WINDOW_US: u64 = 30_000_000;
