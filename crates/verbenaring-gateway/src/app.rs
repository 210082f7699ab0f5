//! Command line of the daemon.

use std::path::PathBuf;

#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Entry node of the verbenaring inference gateway.
        ///
        /// Example: verbenaringd --settings node.json
        cmd verbenaringd {
            /// Settings file to run with.
            optional --settings file: PathBuf
            /// Settings file to check without starting.
            optional --check-settings file: PathBuf
            /// Print the version.
            optional --version
        }
    }
}

/// Action that the command line selects.
#[derive(Debug, PartialEq, Eq)]
pub enum AppRequest {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print the version and exit.
    Version,
}

impl AppRequest {
    /// Parses the arguments without the program name.
    ///
    /// `--version` takes precedence; without it, exactly one file must be given.
    pub fn from_arguments(arguments: Vec<std::ffi::OsString>) -> crate::Result<Self> {
        let flags = flags::Verbenaringd::from_vec(arguments)
            .map_err(|error| crate::Error::Usage(error.to_string()))?;
        match (flags.version, flags.check_settings, flags.settings) {
            (true, _, _) => Ok(AppRequest::Version),
            (_, Some(file), None) => Ok(AppRequest::Check(file)),
            (_, None, Some(file)) => Ok(AppRequest::Run(file)),
            _ => Err(crate::Error::Usage(
                "give one of --settings FILE, --check-settings FILE, --version or --help".into(),
            )),
        }
    }
}
