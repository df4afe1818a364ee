//! Runs a chain member: storage, connections and clock around plankhill-chain.
