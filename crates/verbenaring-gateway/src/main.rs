//! Entry point of `verbenaringd`.
//!
//! Exit codes: 0 after a graceful shutdown, 1 if signal handlers cannot be
//! installed or a second signal ended the shutdown early, 2 if the command line or
//! the settings are wrong or an address cannot be bound; then no task was started.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use verbenaring_core::observe::logger::JsonLogger;
use verbenaring_gateway::app::AppRequest;
use verbenaring_gateway::config::NodeSettings;
use verbenaring_gateway::node::{BoundNode, RunningNode};
use verbenaring_gateway::{Error, Result};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    match AppRequest::from_arguments(arguments).and_then(execute) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("verbenaringd: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn execute(request: AppRequest) -> Result<ExitCode> {
    match request {
        AppRequest::Version => {
            println!("verbenaringd {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        AppRequest::Check(file) => {
            NodeSettings::load(&file)?;
            println!("{}: settings are valid", file.display());
            Ok(ExitCode::SUCCESS)
        }
        AppRequest::Run(file) => {
            let settings = NodeSettings::load(&file)?;
            let runtime = tokio::runtime::Runtime::new().map_err(|source| Error::File {
                file: file.clone(),
                source,
            })?;
            runtime.block_on(run(settings, file))
        }
    }
}

async fn run(settings: NodeSettings, file: PathBuf) -> Result<ExitCode> {
    let level = settings.log_level;
    let logger = JsonLogger::new(settings.vm.as_str());
    let bound = BoundNode::bind(settings).await?;
    if simplelog::CombinedLogger::init(vec![logger]).is_err() {
        eprintln!("verbenaringd: a logger is already set");
    }
    log::set_max_level(level);
    let node = bound.start();
    log::info!("serving callers on {}", node.caller_address());
    log::info!("serving operators on {}", node.operator_address());
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        eprintln!("verbenaringd: cannot install signal handlers");
        return Ok(ExitCode::from(EXIT_FAILED));
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, &file),
        }
    }
    log::info!("shutdown started");
    tokio::select! {
        () = node.stop() => {
            log::info!("shutdown complete");
            log::logger().flush();
            Ok(ExitCode::SUCCESS)
        }
        _ = terminate.recv() => Ok(ExitCode::from(EXIT_FAILED)),
        _ = interrupt.recv() => Ok(ExitCode::from(EXIT_FAILED)),
    }
}

/// Applies the settings that may change without a restart and logs the result.
fn reload(node: &RunningNode, file: &Path) {
    match node.reload_file(file) {
        Ok(report) if report.restart_fields.is_empty() => log::info!("settings reloaded"),
        Ok(report) => log::warn!(
            "settings reloaded; a restart is needed for {}",
            report.restart_fields.join(", ")
        ),
        Err(error) => log::error!("settings not reloaded: {error}"),
    }
}
