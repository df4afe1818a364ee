//! The operator's configuration: reading, checking, route lookup, and changes between versions.
//!
//! A [`Document`] holds the bytes the operator sent, a [`Configuration`] what they mean, a
//! [`RouteTable`] the lookup built from it once per version, and a [`Patch`] what differs between
//! two documents.

mod check;
mod configuration;
mod content;
mod document;
mod error;
mod fields;
mod limits;
mod patch;
mod patch_apply;
mod patch_between;
mod route;
mod service;
mod split;
mod table;

pub use configuration::Configuration;
pub use content::same_content;
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use error::{ConfigurationError, PatchError};
pub use limits::Limits;
pub use patch::{FieldChange, FieldPatch, ListPart, Patch};
pub use plankhill_validation::{Fault, Faults};
pub use route::{Route, RouteKind, RouteServices, WeightedService};
pub use service::{Engine, Model, Protocol, Service};
pub use table::RouteTable;
