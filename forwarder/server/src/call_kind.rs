//! The two kinds of calls to a target. Used by `targets` and `connection_quotas`.

/// Kind of a call to a target: an attempt of an event, or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Attempt,
    HealthCheck,
}
