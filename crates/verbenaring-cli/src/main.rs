//! Entry point of the program `verbenaring`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    ExitCode::from(verbenaring_cli::run(arguments))
}
