//! Measures the time of parsing, lookup and patches for several sizes of a configuration.
//!
//! `cargo run --release -p plankhill-configuration --example cost`

use std::hint::black_box;
use std::time::{Duration, Instant};

use plankhill_configuration::{Document, Patch, RouteTable};
use serde_json::{json, Value};

/// Number of runs of each measurement, of which the shortest is reported.
const RUNS: u32 = 9;

fn main() {
    println!("routes  bytes     parse ms  table ms  find ns  patch ms  apply ms  patch bytes");
    for routes in [10, 100, 1000, 10_000] {
        print_row(routes);
    }
}

fn print_row(routes: usize) {
    let old = document(1, routes, 500);
    let new = document(2, routes, 700);
    let configuration = Document::parse(old.bytes.clone()).expect("valid").1;
    let parse = shortest(|| drop(black_box(Document::parse(old.bytes.clone()))));
    let table_time = shortest(|| drop(black_box(RouteTable::new(configuration.clone()))));
    let table = RouteTable::new(configuration);
    let lookups = 10_000;
    let find = shortest(|| {
        for number in 0..lookups {
            black_box(table.find("front.example", &format!("/route-{}/rest", number % routes)));
        }
    });
    let patch = Patch::between(&old, &new).expect("both are objects");
    let between = shortest(|| drop(black_box(Patch::between(&old, &new))));
    let apply = shortest(|| drop(black_box(patch.apply(&old))));
    println!(
        "{routes:<7} {:<9} {:<9.3} {:<9.3} {:<8} {:<9.3} {:<9.3} {}",
        old.bytes.len(),
        milliseconds(parse),
        milliseconds(table_time),
        find.as_nanos() / lookups as u128,
        milliseconds(between),
        milliseconds(apply),
        patch.text_bytes()
    );
}

/// Returns a document whose middle route has the timeout `timeout_ms`.
fn document(version: u64, routes: usize, timeout_ms: u64) -> Document {
    let route = |index: usize| {
        json!({
            "name": format!("r-{index}"), "host": "front.example", "path_prefix": format!("/route-{index}/"),
            "type": "idempotent", "timeout_ms": if index == routes / 2 { timeout_ms } else { 900 },
            "target_latency_ms": 250, "priority": 1, "service": "tools", "max_attempts": 2,
            "retained": false, "retention_s": 60.0, "session_affinity": false, "resumable": false,
            "gap_aim_ms": 400
        })
    };
    let value = json!({
        "version": version,
        "routes": (0..routes).map(route).collect::<Vec<Value>>(),
        "services": [{"name": "tools", "health_check": "/health", "max_connections": 16}],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 2500,
            "idle_timeout_ms": 12000
        }
    });
    Document::new(version, value.to_string().into_bytes())
}

fn shortest(mut work: impl FnMut()) -> Duration {
    let time = || {
        let started = Instant::now();
        work();
        started.elapsed()
    };
    std::iter::repeat_with(time)
        .take(RUNS as usize)
        .min()
        .unwrap_or_default()
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
