//! Where the value of a day was lost, from the report that the operators' bench writes about it. A
//! tool for development.
//!
//! The report gives value by windows of time and the faults with their spans, not the fate of each
//! program. So the loss of a window is attributed to the faults that were under way around it, in
//! equal shares where there were several.

mod attribution;
mod report;

pub use attribution::{LossByCause, LossReport, Span};
pub use report::{DayReport, Event, Price, ReportError, Window};
