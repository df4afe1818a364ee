//! The operator's configuration: reading, checking, route lookup.
