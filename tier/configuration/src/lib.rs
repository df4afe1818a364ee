//! The operator's configuration: reading, checking, route lookup, and changes between versions.
//!
//! A [`Document`] is the bytes that the operator sent, a [`Configuration`] their meaning, a
//! [`RouteTable`] the lookup that is built from it once per version, and a [`Patch`] the difference
//! of two documents. Without I/O: controllers check documents with this package, proxies build
//! their route tables, and `plankhill-tier check` reads files.

mod check;
mod configuration;
mod content;
mod document;
mod error;
mod fields;
mod limits;
mod patch;
mod route;
mod service;
mod table;
mod traffic_split;

pub use configuration::Configuration;
pub use content::has_same_content;
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use error::{ConfigurationError, PatchError};
pub use limits::Limits;
pub use patch::{FieldChange, FieldPatch, ListSegment, Patch};
pub use plankhill_validation::{Fault, Faults};
pub use route::{Route, RouteKind, RouteServices, WeightedService};
pub use service::{Engine, Model, Protocol, Service};
pub use table::RouteTable;
