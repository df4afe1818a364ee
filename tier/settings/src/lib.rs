//! Reads and checks the settings file of a process of the serving tier.
