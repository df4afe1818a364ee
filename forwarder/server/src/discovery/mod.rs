//! Discovery: watches the endpoint list, and stores it for the next process.
//!
//! [`watch`] requests pages from discovery and passes each to the event loop; [`backoff`] schedules
//! retries after failures; [`stored_list`] keeps the last list in the state folder.
//! [`crate::endpoint_page`] parses a page.

pub mod backoff;
pub mod stored_list;
pub mod watch;
