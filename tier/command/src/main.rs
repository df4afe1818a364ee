//! The command plankhill-tier: starts each role of the serving tier, checks settings, shows status.

fn main() {}
