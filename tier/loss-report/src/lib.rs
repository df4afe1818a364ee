//! Attributes the lost value of a day to causes, based on the day's report that the operators'
//! bench writes. A development tool.
//!
//! The report contains the value of each time window and the time span of each fault, but not the
//! outcome of each program. Therefore, the loss of a window is attributed to the faults that were
//! active around it, in equal shares if there were several.

mod attribution;
mod report;

pub use attribution::{LossByCause, LossReport, Span};
pub use report::{DayReport, Deduction, Event, ReportError, Window};
