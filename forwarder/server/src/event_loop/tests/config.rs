//! Configuration of the forwarder under test, and the endpoint list that it starts with.

use serde_json::{json, Value};

pub(super) fn config(target: std::net::SocketAddr) -> (Value, Value) {
    let traffic = |name, semantics, ordered| {
        json!({"name": name, "semantics": semantics, "aimUs": 1000000, "deadlineUs": 60000000, "credit": 1,
            "lateWorth": 0.1, "serialByKey": ordered})
    };
    let member = json!({"id": "t", "host_port": target.to_string(), "locality": "z", "flavor": "k", "cell": 1, "phase": "up"});
    let endpoint_list = json!({"revision": 1, "complete": true, "members": [member]});
    let settings = json!({"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
        "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true}, "familyInfo": {"slots": 4},
        "profiles": [traffic("job", "pure", true), traffic("charge", "side_effect", true)],
        "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}});
    let limits = json!({"memory_mb": 16, "sockets": 256, "disk_mb": 3});
    let all = json!({"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": limits, "settings": settings});
    (all, endpoint_list)
}
