//! Discovery: the endpoint list as it is watched, and as it is stored for the next process.
//!
//! [`watch`] asks discovery and passes each page to the event loop; [`backoff`] says when to ask again after a failure;
//! [`stored_list`] keeps the last list in the state folder. [`crate::endpoint_page`] parses a page.

pub mod backoff;
pub mod stored_list;
pub mod watch;
