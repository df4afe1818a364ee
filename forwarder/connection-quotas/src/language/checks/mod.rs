//! The checks of a policy, one module for each part of the tree. They continue after an error, so that all errors of a
//! text are reported at once.

pub(super) mod budgets;
pub(super) mod fit;
pub(super) mod lease;
pub(super) mod members;
pub(super) mod names;
pub(super) mod numbers;

pub use members::MAX_MEMBERS;
pub use names::KnownNames;
pub use numbers::MAX_CONNECTIONS;
