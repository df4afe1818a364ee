//! The storage process: retained turns and token budgets on disk.
