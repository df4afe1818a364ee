//! Reads and checks the settings file of a process of the serving tier, and what else each of these
//! processes does with it: the addresses that follow from the settings, and reloading them on a
//! signal.
//!
//! The file is TOML. Keys that this package does not know are skipped; every error names its key.
//! Each process owns the [`Settings`] that it has read; there is no shared copy.

mod bound_value;
mod bounds;
mod error;
mod limits;
mod listeners;
mod load;
mod ports;
mod process;
mod settings;
mod zones;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use limits::{FaultTolerance, Limits};
pub use listeners::Listeners;
pub use load::{settings_path, DEFAULT_PATH, MAX_FILE_BYTES, PATH_VARIABLE};
pub use ports::PortRange;
pub use process::{run_on_current_thread, ProcessSignal, ProcessSignals};
pub use settings::{MachineClass, Settings};
pub use zones::Zones;
