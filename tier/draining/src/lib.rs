//! Draining of forwarders, without I/O: the states of one node ([`node`]), its graceful shutdown
//! ([`shutdown`]), the check that enough other forwarders stay in service ([`disruption_budget`]),
//! and the plan of a rolling restart ([`rolling_restart`]).
//!
//! The proxy drives [`node`] and [`shutdown`] and carries out their actions; the control state
//! checks drain orders against [`disruption_budget`]; the command line carries out the steps of
//! [`rolling_restart`]. Each caller owns the state and passes the current time as an argument.

pub mod disruption_budget;
pub mod node;
pub mod rolling_restart;
pub mod shutdown;
