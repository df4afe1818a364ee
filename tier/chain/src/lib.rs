//! Chain replication and its membership view, without I/O.
