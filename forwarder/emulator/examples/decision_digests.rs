//! Simulates every shipped scenario in full, for two seeds each, and prints a digest of each outcome.
//! Versions that make the same decisions print the same text.
//!
//!     cargo run --release -p plankhill-emulator --example decision_digests

#[path = "../tests/helpers/digest.rs"]
mod digest;

fn main() {
    for name in digest::SCENARIOS {
        for seed in digest::SEEDS {
            println!("{}", digest::line(name, seed, 1.0));
        }
    }
}
