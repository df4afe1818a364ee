//! The replicated control state of the serving tier as a pure state machine.
