//! Retained turns and token budgets over several stores, without I/O.
