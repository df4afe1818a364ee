//! Which target gets which request and when: the decision module applied to the serving tier, without I/O.
