//! Operators' command line of the verbenaring inference gateway.
//!
//! The commands are functions of this library, so that tests can run them; `main`
//! only passes on the arguments.

pub mod app;
pub mod change;
pub mod client;
pub mod command;
pub mod console;
pub mod difference;
pub mod document;
pub mod error;
pub mod logs;
pub mod read;
pub mod table;
pub mod usage;

use std::ffi::OsString;

pub use error::{Error, Result};

use crate::app::AppRequest;
use crate::console::OutputConsole;

/// Runs a command line without its program name and returns the exit code of the
/// process.
pub fn run(arguments: Vec<OsString>) -> u8 {
    let json = arguments.iter().any(|argument| argument == "--json");
    let request = match AppRequest::from_arguments(arguments) {
        Ok(request) => request,
        Err(error) => return print_error(&error, json),
    };
    if let AppRequest::Help(text) = request {
        print!("{text}");
        return 0;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return print_error(&Error::Failed(error.to_string()), json),
    };
    let mut console = OutputConsole::new(std::io::stdout(), json);
    match runtime.block_on(command::execute(request, &mut console)) {
        Ok(()) => 0,
        Err(error) => print_error(&error, json),
    }
}

fn print_error(error: &Error, json: bool) -> u8 {
    eprintln!("verbenaring: {error}");
    if json {
        println!("{}", error.to_json());
    }
    error.exit_code()
}
