//! Simulates connection demand in virtual time, without a network: a hundred forwarders call two targets, each with a
//! limit on connections from all forwarders together. Compares local AIMD limits of each forwarder with leases. Prints a
//! table for `docs/pools.md`. Run with `cargo run --release -p plankhill-connection-quotas --example demand [SEED]`.

mod fleet {
    pub mod aimd;
    pub mod leased;
    pub mod traffic;
}

use fleet::aimd::AimdLimits;
use fleet::leased::LeasedQuotas;
use fleet::traffic::{simulate, Traffic};

/// Forwarders of the simulated fleet.
pub const FORWARDERS: usize = 100;
/// Targets of the simulated fleet.
pub const TARGETS: usize = 2;
/// Maximum number of connections that a target accepts, including idle ones.
pub const MAX_CONNECTIONS: u32 = 150;
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
        let aimd = simulate(seed, traffic, &mut AimdLimits::new());
        let leased = simulate(seed, traffic, &mut LeasedQuotas::new());
        for (strategy, outcome) in [("alone", aimd), ("leases", leased)] {
            let shares: Vec<String> = outcome
                .served
                .iter()
                .map(|share| format!("{share:.2}"))
                .collect();
            println!(
                "| {traffic:?} | {strategy} | {:.2} | {} | {:.1} | {:.2} |",
                outcome.all,
                shares.join(" | "),
                outcome.refused,
                outcome.used
            );
        }
    }
}
