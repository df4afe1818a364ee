//! The data plane process: clients, targets, streams.
