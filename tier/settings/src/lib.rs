//! Reads and validates the settings file of a process of the serving tier, derives the process
//! addresses from the settings, and reloads the settings on a signal.
//!
//! The file is TOML. Unknown keys are ignored; an error for an invalid value names its key. Each
//! process owns its [`Settings`]; there is no shared copy.

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
