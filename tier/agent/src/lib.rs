//! The process beside each proxy that links it to the control plane.
