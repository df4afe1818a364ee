//! The control plane process: operator API, heartbeats of targets, subscriptions.
