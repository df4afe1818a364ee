//! What the processes are told: the configuration of each.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// What a story may want otherwise.
#[derive(Clone, Debug)]
pub struct Told {
    pub disk_mb: f64,
    /// Events that a forwarder holds at most.
    pub room: u64,
    pub sends_cap: u64,
    /// Each instance's record is kept by two others.
    pub copies: bool,
    /// The section `[fanout]` of the fleet's file; empty: nothing is broadcast.
    pub fanout: &'static str,
    /// The policy for connections, and a control group that gives them.
    pub pools: Option<String>,
    /// Bytes that an instance keeps for others, in millions.
    pub kept_mb: f64,
}

impl Default for Told {
    fn default() -> Self {
        Told {
            disk_mb: 3.0,
            room: 400,
            sends_cap: 12,
            copies: false,
            pools: None,
            fanout: "",
            kept_mb: 64.0,
        }
    }
}

impl Told {
    pub fn with_copies() -> Told {
        Told {
            copies: true,
            ..Told::default()
        }
    }

    pub fn with_lists(fanout: &'static str) -> Told {
        Told {
            fanout,
            ..Told::default()
        }
    }

    /// Whether instances know of each other.
    pub fn is_fleet(&self) -> bool {
        self.copies || self.pools.is_some() || !self.fanout.is_empty()
    }

    /// The file of the fleet, with an address for each instance.
    pub fn fleet(&self, addresses: &[SocketAddr]) -> String {
        let mut text = String::from("fleet = \"stories\"\n");
        for (number, address) in addresses.iter().enumerate() {
            text += &format!(
                "[[instances]]\nname = \"n{number}\"\naddress = \"{address}\"\nmachine = \"m{number}\"\n"
            );
        }
        // A busy machine may starve a process for longer than the defaults bear.
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
        if self.pools.is_some() {
            text += "[control]\nvoters = [\"n0\", \"n1\", \"n2\"]\n[pools]\npolicy = \"pools.policy\"\n";
        }
        if !self.copies {
            return text;
        }
        text + &format!(
            "[copies]\nkeepers = 2\nmemory_mb = {0}\ndisk_mb = {0}\n",
            self.kept_mb
        )
    }

    pub fn config(
        &self,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: Value,
    ) -> Value {
        let traffic = |name: &str, semantics: &str, ordered: bool| {
            json!({"name": name, "semantics": semantics, "aimUs": 1_000_000, "deadlineUs": 60_000_000, "credit": 1,
                "lateWorth": 0.1, "dedupScope": "all", "windowUs": WINDOW_US, "serialByKey": ordered})
        };
        json!({"name": name, "listen": listen.to_string(), "mgmt": "127.0.0.1:0",
            "discovery": discovery.to_string(), "seed": "7",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": self.disk_mb},
            "known": known,
            "settings": {"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
                "allowed": {"attemptsCap": self.sends_cap, "maxOpen": self.room, "probes": true, "retryAfter": true,
                    "maxRetryAfterUs": 2_000_000},
                "familyInfo": {"slots": 8},
                "profiles": [traffic("job", "pure", false), traffic("order", "token", false),
                    traffic("charge", "side_effect", false), traffic("job-in-order", "pure", true),
                    traffic("order-in-order", "token", true), traffic("charge-in-order", "side_effect", true)],
                "rules": {"coldFrom": 0.2, "coldUs": 9_000_000, "tipMultiple": 2}}})
    }
}

/// How long a repeat of a fingerprinted event is recognised, in microseconds.
pub const WINDOW_US: u64 = 30_000_000;
