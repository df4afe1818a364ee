//! Runs one role of the serving tier.

use plankhill_settings::{Settings, SettingsError};
use thiserror::Error;

use crate::{logging, ExitStatus, LogFormat, Role};

/// A role failed to start or to run.
#[derive(Debug, Error)]
enum RoleError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Agent(#[from] plankhill_agent::RunError),
    #[error(transparent)]
    Store(#[from] plankhill_store::RunError),
    #[error(transparent)]
    Proxy(#[from] plankhill_proxy::RunError),
    #[error(transparent)]
    Controller(#[from] plankhill_controller::RunError),
}

/// Runs `role` until it is stopped.
pub(crate) fn start(role: Role, log_format: LogFormat) -> ExitStatus {
    logging::start(log_format);
    match run(role) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            tracing::error!(?role, %error, "role failed");
            ExitStatus::Failure
        }
    }
}

fn run(role: Role) -> Result<(), RoleError> {
    let settings = Settings::load()?;
    match role {
        Role::Agent => plankhill_agent::run(settings)?,
        Role::Store => plankhill_store::run(settings)?,
        Role::Proxy => plankhill_proxy::run(settings)?,
        Role::Controller => plankhill_controller::run(settings)?,
    }
    Ok(())
}
