//! The operator's configuration: parsing, validation, route lookup, and patches between versions.
//!
//! A [`Document`] contains the bytes that the operator sent, a [`Configuration`] is their parsed form,
//! a [`RouteTable`] is the lookup structure built from it once per version, and a [`Patch`] is the
//! difference between two documents. The package performs no I/O: controllers validate documents with
//! it, proxies build their route tables, and `plankhill-tier check` validates files.

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
