//! Messages between processes of the serving tier, and the connections that carry them.
