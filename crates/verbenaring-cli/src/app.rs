//! Definition and parsing of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::error::{Error, Result};

/// Environment variable with the operators' key.
pub const KEY_VARIABLE: &str = "VERBENARING_KEY";

#[allow(missing_docs)]
pub mod flags {
    //! Commands and flags. A command of a group has two names: the first one contains
    //! the group, because all generated types are in one module; the second one is
    //! documented and shown in the help text.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Client for operators of the verbenaring inference gateway.
        ///
        /// Exit codes: 0 done, 1 failed, 2 invalid arguments or file, 3 node unreachable,
        /// 4 another change was written first, 5 written but not in force in time.
        cmd verbenaring {
            /// IP address and port of a node for operators (its operator_address).
            optional --node address: String
            /// File with the operators' key; VERBENARING_KEY is used if absent.
            optional --key-file file: PathBuf
            /// Print the result as one JSON value instead of text.
            optional --json

            /// Contracts of customers.
            cmd contract {
                /// Lists the contracts with their revisions in force and in the store.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 contract list
                cmd contract-list list {}
                /// Shows one contract.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 contract show dispatch
                cmd contract-show show {
                    /// Customer of the contract.
                    required customer: String
                    /// Print only the document, for example to edit it in a file.
                    optional --document
                }
                /// Checks contract files without contacting a node.
                ///
                /// Example: verbenaring contract check dispatch.json fitters.json
                cmd contract-check check {
                    /// Contract files.
                    repeated file: PathBuf
                }
                /// Shows how a contract file differs from the revision in force.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 contract diff dispatch.json
                cmd contract-diff diff {
                    /// Contract file.
                    required file: PathBuf
                }
                /// Writes a contract file as the new revision of its contract.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 contract apply dispatch.json --expect 12 --wait 10
                cmd contract-apply apply {
                    /// Contract file.
                    required file: PathBuf
                    /// Revision that the file is based on, 0 for a new contract; the stored one if absent.
                    optional --expect revision: u64
                    /// Seconds to wait until the nodes have the revision in force.
                    optional --wait seconds: u64
                }
                /// Shows which amendment wrote the contract and which revision it amended.
                ///
                /// The platform store keeps only the current entry, so earlier
                /// documents cannot be shown: the history ends at the base revision.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 contract history dispatch
                cmd contract-history history {
                    /// Customer of the contract.
                    required customer: String
                }
            }
            /// Planned stops of entry VMs, servers, racks and data centres.
            cmd stop {
                /// Plans a stop, from a file or from flags.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 stop plan fan-swap --scope server --target dublin-a-engine-1 --begins-in 600 --lasts 1800
                cmd stop-plan plan {
                    /// Name of the stop, with --scope and --target.
                    optional name: String
                    /// File with the stop, instead of the flags.
                    optional --file file: PathBuf
                    /// Kind of the target: vm, server, rack or data_centre.
                    optional --scope scope: String
                    /// Name of the VM, server, rack or data centre that stops.
                    optional --target target: String
                    /// Seconds until the stop begins; it begins at once if absent.
                    optional --begins-in seconds: u64
                    /// Duration of the stop in seconds; it has no end if absent.
                    optional --lasts seconds: u64
                    /// Seconds to wait until the nodes have the stop in force.
                    optional --wait seconds: u64
                }
                /// Lists the planned stops.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 stop list
                cmd stop-list list {}
                /// Cancels a planned stop.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 stop cancel fan-swap --wait 10
                cmd stop-cancel cancel {
                    /// Name of the stop.
                    required name: String
                    /// Seconds to wait until the nodes have the change in force.
                    optional --wait seconds: u64
                }
            }
            /// Backend servers.
            cmd capacity {
                /// Writes a server file as the new revision of its server.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 capacity set engine-1.json --wait 10
                cmd capacity-set set {
                    /// Server file.
                    required file: PathBuf
                    /// Revision that the file is based on, 0 for a new server; the stored one if absent.
                    optional --expect revision: u64
                    /// Seconds to wait until the nodes have the revision in force.
                    optional --wait seconds: u64
                }
                /// Lists the servers, or shows one as DATA_CENTRE/SERVER.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 capacity show dublin-a/dublin-a-engine-0
                cmd capacity-show show {
                    /// Data centre and name of the server, separated by a slash.
                    optional server: String
                }
            }
            /// Shows each node with its revision, its work at servers and unreadable documents.
            ///
            /// Example: verbenaring --node 127.0.0.1:7003 status
            cmd status {}
            /// Shows counters of each contract since the start of the node, and usage statements.
            ///
            /// Example: verbenaring --node 127.0.0.1:7003 report
            cmd report {
                /// Fail unless a usage statement has this digest.
                optional --head digest: String
            }
            /// Shows the events of a request, or of the node from a sequence number on.
            ///
            /// Example: verbenaring --node 127.0.0.1:7003 timeline --request 3f2a77c0
            cmd timeline {
                /// Identifier of the request (x-request-id).
                optional --request request: String
                /// Sequence number of the first event.
                optional --since sequence: u64
            }
            /// Operations that run at most once.
            cmd operation {
                /// Shows the recorded outcome of an operation.
                ///
                /// Example: verbenaring --node 127.0.0.1:7003 operation show dispatch 019a5f6e-8d3c-7cc1-b0a4-0f2a9c1d7e55
                cmd operation-show show {
                    /// Customer of the operation.
                    required customer: String
                    /// Idempotency key of the operation.
                    required key: String
                }
            }
            /// Bearer keys.
            cmd key {
                /// Creates a bearer key and prints it with its digest; nothing is stored.
                ///
                /// Example: verbenaring key new
                cmd key-new new {}
            }
            /// Explains the outcome of one request from log files of VMs, without a node.
            ///
            /// Example: verbenaring explain --request 9c41d07be2a35f68 front-1.log front-2.log
            cmd explain {
                /// Identifier of the request (field `request` of the lines).
                required --request request: String
                /// Log files; lines that are not from a VM are skipped.
                repeated file: PathBuf
            }
            /// Counts refusals and failures in log files of VMs, without a node.
            ///
            /// Example: verbenaring summary --svg failures.svg front-1.log front-2.log
            cmd summary {
                /// SVG file to which a plot of the most frequent reasons over time is written.
                optional --svg file: PathBuf
                /// Log files; lines that are not from a VM are skipped.
                repeated file: PathBuf
            }
            /// Lists the entry VMs that callers should use.
            ///
            /// Example: verbenaring --node 127.0.0.1:7003 entry
            cmd entry {}
        }
    }
}

const COMMAND_GROUPS: [&str; 5] = ["contract", "stop", "capacity", "operation", "key"];

/// Parsed command line.
#[derive(Debug)]
pub enum AppRequest {
    /// Print this help text.
    Help(String),
    /// Run a command.
    Command {
        /// Command with its arguments and flags.
        command: flags::VerbenaringCmd,
        /// Node that the command contacts, if it needs one.
        node: ConnectionOptions,
    },
}

/// Node that a command contacts and key that it sends, as given by the flags.
#[derive(Debug, Default)]
pub struct ConnectionOptions {
    /// Address as typed; `None` without `--node`.
    pub address: Option<String>,
    /// File with the operators' key; `None` if [`KEY_VARIABLE`] holds the key.
    pub key_file: Option<PathBuf>,
}

impl AppRequest {
    /// Parses the process arguments, without the program name.
    pub fn from_arguments(arguments: Vec<OsString>) -> Result<Self> {
        let words: Vec<String> = arguments
            .iter()
            .map(|argument| argument.to_string_lossy().into_owned())
            .collect();
        if words.is_empty() {
            return Err(Error::Usage("no command is given".into()));
        }
        match flags::Verbenaring::from_vec(arguments) {
            Ok(flags) => Ok(AppRequest::Command {
                command: flags.subcommand,
                node: ConnectionOptions {
                    address: flags.node,
                    key_file: flags.key_file,
                },
            }),
            Err(error) if error.is_help() => {
                Ok(AppRequest::Help(select_help(&error.to_string(), &words)))
            }
            Err(error) => Err(Error::Usage(error.to_string())),
        }
    }
}

impl ConnectionOptions {
    /// Parses the address; fails if it is missing or invalid.
    pub fn address(&self) -> Result<SocketAddr> {
        let Some(text) = &self.address else {
            return Err(Error::Usage(
                "give --node ADDRESS, the operator_address of a node".into(),
            ));
        };
        text.parse().map_err(|_| {
            Error::Usage(format!(
                "--node {text} is not an IP address and port such as 127.0.0.1:7003"
            ))
        })
    }

    /// Reads the operators' key from the file or from [`KEY_VARIABLE`].
    pub fn key(&self) -> Result<String> {
        let text = match &self.key_file {
            Some(file) => read_key(file)?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| {
                Error::Usage(format!(
                    "give the operators' key with --key-file FILE or in {KEY_VARIABLE}"
                ))
            })?,
        };
        let key = text.trim();
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Usage(
                "the operators' key must be one line without spaces".into(),
            ));
        }
        Ok(key.to_owned())
    }
}

fn read_key(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })
}

/// Selects the section of the typed command from the help text, or the whole text if
/// no command was typed.
fn select_help(help: &str, words: &[String]) -> String {
    let mut help = help.to_owned();
    for group in COMMAND_GROUPS {
        // Removes the names that contain the group, such as `contract-list | `.
        for line in help.clone().lines() {
            let Some((_, name)) = line.split_once(&format!("verbenaring {group} {group}-")) else {
                continue;
            };
            let name = name.split(' ').next().unwrap_or_default();
            help = help.replace(&format!("{group}-{name} | "), "");
        }
    }
    let mut section = String::from("verbenaring");
    let mut section_lines = Vec::new();
    for word in words.iter().filter(|word| !word.starts_with('-')) {
        let next = format!("{section} {word}");
        let is_title = |line: &&str| **line == *next || line.starts_with(&format!("{next} "));
        if help.lines().any(|line| is_title(&line)) {
            section = next;
            section_lines.clear();
        }
    }
    if section == "verbenaring" {
        return help;
    }
    let mut in_section = false;
    for line in help.lines() {
        if line.starts_with("verbenaring") {
            in_section = line == section || line.starts_with(&format!("{section} "));
        }
        if in_section {
            section_lines.push(line);
        }
    }
    let text = section_lines.join("\n");
    format!(
        "{}\n\nOptions of all commands: verbenaring --help\n",
        text.trim_end()
    )
}
