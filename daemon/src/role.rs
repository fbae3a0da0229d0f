//! Starts a role with its settings, logger and async runtime.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use shaletrail_protocol::settings::{Settings, SETTINGS_PATH_VARIABLE};
use slog::{crit, o, Logger};
use snafu::OptionExt;
use tokio::runtime;
use tokio::task::LocalSet;

use crate::error::{MissingSettingSnafu, NoSettingsFileSnafu, UnknownLogLevelSnafu, UsageError};
use crate::logging;

/// The role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests from clients and routes them to model servers.
    DataPlane,
    /// Replicates the configuration, tracks the model servers and places models on them.
    Coordinator,
}

impl Role {
    /// The first key that the role needs and that is missing from the settings.
    fn missing_setting(self, settings: &Settings) -> Option<&'static str> {
        match self {
            Role::DataPlane if settings.ingress.is_none() => Some("listenersMap.ingress"),
            Role::DataPlane if settings.readiness.is_none() => Some("listenersMap.readiness"),
            Role::Coordinator if settings.control_plane.is_none() => Some("listenersMap.controlPlane"),
            Role::Coordinator if settings.data_dir.is_none() => Some("dataDir"),
            _ => None,
        }
    }
}

/// Runs a role until the process is asked to shut down. The settings file is `path`, or else the one specified by the
/// environment variable [`SETTINGS_PATH_VARIABLE`]. The exit code says whether the role failed.
///
/// # Errors
/// The options or the settings cannot be used. No other file or socket has been opened in this case.
pub fn start(role: Role, path: Option<PathBuf>, log_level: String) -> Result<ExitCode, UsageError> {
    let level = logging::parse_level(&log_level).context(UnknownLogLevelSnafu { level: log_level })?;
    let path_from_environment = || std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from);
    let path = path.or_else(path_from_environment).context(NoSettingsFileSnafu)?;
    let settings = Settings::read(&path)?;
    if let Some(key) = role.missing_setting(&settings) {
        return MissingSettingSnafu { key }.fail();
    }
    let log = logging::logger(level).new(o!("node" => settings.node_name.clone()));
    Ok(match run(role, settings, path, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "process failed"; "error" => %error);
            ExitCode::FAILURE
        }
    })
}

/// Runs a role on a single-threaded runtime on the calling thread.
fn run(role: Role, settings: Settings, path: PathBuf, log: &Logger) -> Result<(), Box<dyn Error>> {
    let runtime = runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    let tasks = LocalSet::new();
    match role {
        Role::DataPlane => {
            tasks.block_on(&runtime, shaletrail_dataplane::run(settings, path, log.clone()))?;
        }
        Role::Coordinator => {
            tasks.block_on(&runtime, shaletrail_coordinator::run(settings, path, log.clone()))?;
        }
    }
    Ok(())
}
