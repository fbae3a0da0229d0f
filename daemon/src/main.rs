//! The `shaletrail` binary: one subcommand a role, settings checked before anything starts.

mod arguments;
mod logging;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use arguments::{Arguments, Command, SettingsAction};
use shaletrail_protocol::settings::{Settings, PATH_VARIABLE};
use slog::{crit, o, Logger};

/// Exit code for a wrong use of the command line or unusable settings.
const WRONG_USE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::DataPlane(options) => serve(Role::DataPlane, options.settings, &options.log_level),
        Command::Coordinator(options) => serve(Role::Coordinator, options.settings, &options.log_level),
        Command::Settings(settings) => match settings.action {
            SettingsAction::Check(file) => check(&file.file),
            SettingsAction::Show(file) => show(&file.file),
        },
    }
}

/// What a process does in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    DataPlane,
    Coordinator,
}

impl Role {
    /// The first listener that the role cannot do without and that the settings lack.
    fn missing_listener(self, settings: &Settings) -> Option<&'static str> {
        match self {
            Role::DataPlane if settings.ingress.is_none() => Some("listenersMap.ingress"),
            Role::DataPlane if settings.readiness.is_none() => Some("listenersMap.readiness"),
            Role::Coordinator if settings.control_plane.is_none() => Some("listenersMap.controlPlane"),
            Role::Coordinator if settings.data_dir.is_none() => Some("dataDir"),
            _ => None,
        }
    }
}

fn serve(role: Role, path: Option<PathBuf>, level: &str) -> ExitCode {
    let Some(level) = logging::level(level) else {
        return wrong_use(&format!("--log-level: '{level}' found, expected error, warning, info or debug"));
    };
    let Some(path) = path.or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from)) else {
        return wrong_use(&format!("no settings file: set {PATH_VARIABLE} or give --settings FILE"));
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return wrong_use(&error.to_string()),
    };
    if let Some(key) = role.missing_listener(&settings) {
        return wrong_use(&format!("{key}: missing, the role needs it"));
    }
    let log = logging::logger(level).new(o!("node" => settings.node_name.clone()));
    run(role, settings, path, log)
}

fn run(role: Role, settings: Settings, path: PathBuf, log: Logger) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            crit!(log, "no runtime"; "error" => %error);
            return ExitCode::FAILURE;
        }
    };
    let tasks = tokio::task::LocalSet::new();
    let ended = match role {
        Role::DataPlane => tasks
            .block_on(&runtime, shaletrail_dataplane::run(settings, path, log.clone()))
            .map_err(|error| error.to_string()),
        Role::Coordinator => tasks
            .block_on(&runtime, shaletrail_coordinator::run(settings, path, log.clone()))
            .map_err(|error| error.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "ended"; "error" => error);
            ExitCode::FAILURE
        }
    }
}

fn check(path: &Path) -> ExitCode {
    match Settings::read(path) {
        Ok(_) => {
            println!("{}: right", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => wrong_use(&error.to_string()),
    }
}

fn show(path: &Path) -> ExitCode {
    match Settings::read(path) {
        Ok(settings) => {
            println!("{settings:#?}");
            ExitCode::SUCCESS
        }
        Err(error) => wrong_use(&error.to_string()),
    }
}

fn wrong_use(message: &str) -> ExitCode {
    eprintln!("shaletrail: {message}");
    ExitCode::from(WRONG_USE)
}
