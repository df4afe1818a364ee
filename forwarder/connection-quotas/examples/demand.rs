//! A simulation of connection demand in virtual time, not of a network: a hundred forwarders call two targets that
//! take so many connections from all together, each guessing alone, or by leases. Prints a table for
//! `docs/pools.md`. `cargo run --release -p plankhill-connection-quotas --example demand [SEED]`.

mod fleet {
    pub mod alone;
    pub mod leased;
    pub mod traffic;
}

use fleet::alone::Alone;
use fleet::leased::Leased;
use fleet::traffic::{play, Traffic};

/// Forwarders of the simulated fleet.
pub const FORWARDERS: usize = 100;
/// Targets of the simulated fleet.
pub const TARGETS: usize = 2;
/// Connections that a target takes, idle ones counted.
pub const TAKES: u32 = 150;
/// Members with their weights.
pub const MEMBERS: [(&str, f64); 3] = [("large", 3.0), ("others", 1.0), ("small", 1.0)];

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("| traffic | way | served | large | others | small | refused a second | in use |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for traffic in [Traffic::Even, Traffic::Skewed, Traffic::Hot] {
        let alone = play(seed, traffic, &mut Alone::new());
        let leased = play(seed, traffic, &mut Leased::new());
        for (way, seen) in [("alone", alone), ("leases", leased)] {
            let shares: Vec<String> = seen
                .served
                .iter()
                .map(|share| format!("{share:.2}"))
                .collect();
            println!(
                "| {traffic:?} | {way} | {:.2} | {} | {:.1} | {:.2} |",
                seen.all,
                shares.join(" | "),
                seen.refused,
                seen.used
            );
        }
    }
}
