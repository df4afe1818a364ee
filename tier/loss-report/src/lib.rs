//! Where the worth of a day was lost, from the report that the operators' bench writes about it.
//!
//! The report tells worth by windows of time and the faults with their spans, not the fate of each program. So the loss of
//! a window is put down to the faults that were under way around it, in equal parts where there were several.

mod ledger;
mod report;

pub use ledger::{Ledger, LostTo, Span};
pub use report::{DayReport, Event, Price, ReportError, Window};
