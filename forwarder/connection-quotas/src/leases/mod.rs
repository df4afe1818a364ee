//! Parts of budgets as leases: a book that a replicated log keeps, a giver that leads, and holders. None of
//! them reads a clock: each is told its own side's, in milliseconds that only grow.
//!
//! Why the sum of what may be open stays within a budget, over any losses:
//! - The book counts for each instance the most of all leases that may still be held, and what it has for sure
//!   without one. A lease that would pass the budget changes nothing.
//! - A holder counts a lease from before it asked for it, the giver from after it was written down.
//! - A lease is taken off when its holder has said that it has closed down to a later one, or when its giver
//!   has waited it out: its span, the time in which a process that stands still is ended, and the drift of
//!   both clocks.
//! - A new giver waits out all that it finds from its own beginning.

mod book;
mod counted;
mod demand;
mod giver;
mod holder;
mod standing;
mod words;

pub use book::{LeaseTable, Outcome, Torn, MOST_LEASES};
pub use demand::Demand;
pub use giver::Giver;
pub use holder::{Allowed, Holder};
pub use standing::standing;
pub use words::*;
