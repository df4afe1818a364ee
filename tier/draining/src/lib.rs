//! Taking forwarders out of service, without I/O: the states that one node goes through, whether enough others
//! stay, and the plan of a roll over many.

pub mod node;
pub mod rolling_restart;
pub mod room;
pub mod shutdown;
