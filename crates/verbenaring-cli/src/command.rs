//! Execution of the commands. Most read or change configuration through one node;
//! some only work on local files.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngCore;
use serde_json::json;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::Digest;
use verbenaring_protocol::document::{ScopeDocument, StopDocument};
use verbenaring_protocol::rules::DocumentKind;

use crate::app::AppRequest;
use crate::app::flags::{
    CapacityCmd, ContractCheck, ContractCmd, Explain, KeyCmd, OperationCmd, StopCmd, StopPlan,
    Summary, VerbenaringCmd,
};
use crate::change::{ProposedChange, wait_until_in_force};
use crate::client::NodeClient;
use crate::console::OutputConsole;
use crate::difference::difference_text;
use crate::document::CheckedDocument;
use crate::error::{Error, Result};
use crate::logs::explain::{RequestStep, explain};
use crate::logs::line::MergedLog;
use crate::logs::summary::{summarize, write_plot};
use crate::read;

/// Runs a command and writes its result to the console. [`AppRequest::Help`] does
/// nothing.
pub async fn execute<W: Write>(request: AppRequest, console: &mut OutputConsole<W>) -> Result<()> {
    let AppRequest::Command { command, node } = request else {
        return Ok(());
    };
    match command {
        VerbenaringCmd::Key(key) => match key.subcommand {
            KeyCmd::KeyNew(_) => create_key(console),
        },
        VerbenaringCmd::Contract(contract) => match contract.subcommand {
            ContractCmd::ContractCheck(check) => check_contracts(&check, console),
            command => {
                let client = NodeClient::new(node.address()?, &node.key()?);
                run_contract(command, &client, console).await
            }
        },
        VerbenaringCmd::Explain(flags) => explain_request(&flags, console),
        VerbenaringCmd::Summary(flags) => summarize_logs(&flags, console),
        command => {
            let client = NodeClient::new(node.address()?, &node.key()?);
            run_command(command, &client, console).await
        }
    }
}

fn explain_request<W: Write>(flags: &Explain, console: &mut OutputConsole<W>) -> Result<()> {
    let log = load_logs(&flags.file)?;
    let explanation = explain(&log, &flags.request).ok_or_else(|| {
        let (request, lines) = (&flags.request, log.lines.len());
        Error::Failed(format!("none of {lines} lines names the request {request}"))
    })?;
    for step in &explanation.steps {
        let RequestStep {
            after_ms,
            vm,
            what,
            details,
        } = step;
        console.print(format!("{after_ms:>7} ms  {vm}  {what}  {details}"))?;
    }
    for (title, texts) in [
        ("Believed", &explanation.beliefs),
        ("Not shown", &explanation.gaps),
    ] {
        for text in texts {
            console.print(format!("{title}: {text}"))?;
        }
    }
    console.print(format!("Cause: {}", explanation.cause))?;
    console.print_json(&explanation)
}

fn summarize_logs<W: Write>(flags: &Summary, console: &mut OutputConsole<W>) -> Result<()> {
    let summary = summarize(&load_logs(&flags.file)?);
    for (reason, count) in &summary.reasons {
        console.print(format!("{count:>7}  {reason}"))?;
    }
    for (vm, reasons) in &summary.vms {
        let centre = summary.data_centres.get(vm).map_or("", String::as_str);
        console.print(format!("{vm}  {centre}"))?;
        for (reason, count) in reasons {
            console.print(format!("  {count:>7}  {reason}"))?;
        }
    }
    let (missing, skipped) = (summary.missing_lines, summary.skipped_lines);
    console.print(format!(
        "lines left out by the VMs: {missing}; lines not of a VM or cut off: {skipped}"
    ))?;
    if let Some(file) = &flags.svg {
        write_plot(&summary, file)?;
    }
    console.print_json(&summary)
}

fn load_logs(files: &[PathBuf]) -> Result<MergedLog> {
    match files.is_empty() {
        true => Err(Error::Usage("give log files".into())),
        false => MergedLog::load(files),
    }
}

async fn run_command<W: Write>(
    command: VerbenaringCmd,
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    match command {
        VerbenaringCmd::Stop(stop) => run_stop(stop.subcommand, client, console).await,
        VerbenaringCmd::Capacity(capacity) => match capacity.subcommand {
            CapacityCmd::CapacitySet(set) => {
                let file = load_document(DocumentKind::Server, &set.file)?;
                apply(client, file, set.expect, set.wait, console).await
            }
            CapacityCmd::CapacityShow(show) => match &show.server {
                Some(server) => {
                    read::show_document(client, DocumentKind::Server, server, false, console).await
                }
                None => read::list_servers(client, console).await,
            },
        },
        VerbenaringCmd::Status(_) => read::show_status(client, console).await,
        VerbenaringCmd::Report(report) => {
            read::show_report(client, report.head.as_deref(), console).await
        }
        VerbenaringCmd::Entry(_) => read::show_entry(client, console).await,
        VerbenaringCmd::Timeline(timeline) => {
            let request = timeline.request.as_deref();
            read::show_timeline(client, request, timeline.since, console).await
        }
        VerbenaringCmd::Operation(operation) => match operation.subcommand {
            OperationCmd::OperationShow(show) => {
                read::show_operation(client, &show.customer, &show.key, console).await
            }
        },
        VerbenaringCmd::Contract(_)
        | VerbenaringCmd::Key(_)
        | VerbenaringCmd::Explain(_)
        | VerbenaringCmd::Summary(_) => Ok(()),
    }
}

async fn run_contract<W: Write>(
    command: ContractCmd,
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let kind = DocumentKind::Contract;
    match command {
        ContractCmd::ContractList(_) => read::list_contracts(client, console).await,
        ContractCmd::ContractShow(show) => {
            read::show_document(client, kind, &show.customer, show.document, console).await
        }
        ContractCmd::ContractHistory(history) => {
            read::show_history(client, kind, &history.customer, console).await
        }
        ContractCmd::ContractCheck(check) => check_contracts(&check, console),
        ContractCmd::ContractDiff(diff) => {
            let change =
                ProposedChange::for_document(client, load_document(kind, &diff.file)?, None)
                    .await?;
            show_difference(&change, console)?;
            console.print_json(&json!({
                "in_force": change.in_force_revision,
                "stored": change.expected,
                "difference": change.difference(),
            }))
        }
        ContractCmd::ContractApply(flags) => {
            let file = load_document(kind, &flags.file)?;
            apply(client, file, flags.expect, flags.wait, console).await
        }
    }
}

async fn run_stop<W: Write>(
    command: StopCmd,
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    match command {
        StopCmd::StopList(_) => read::list_stops(client, current_unix_ms(), console).await,
        StopCmd::StopPlan(plan) => {
            let document = match &plan.file {
                Some(file) => load_document(DocumentKind::Stop, file)?,
                None => stop_from_flags(&plan)?,
            };
            apply(client, document, None, plan.wait, console).await
        }
        StopCmd::StopCancel(cancel) => {
            let change =
                ProposedChange::for_deletion(client, DocumentKind::Stop, &cancel.name).await?;
            submit(client, &change, cancel.wait, console).await
        }
    }
}

/// Shows how a document differs from the one in force and writes it. With `wait`, also
/// waits so many seconds until the nodes have it in force.
pub async fn apply<W: Write>(
    client: &NodeClient,
    document: CheckedDocument,
    expected: Option<Revision>,
    wait: Option<u64>,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let change = ProposedChange::for_document(client, document, expected).await?;
    show_difference(&change, console)?;
    submit(client, &change, wait, console).await
}

async fn submit<W: Write>(
    client: &NodeClient,
    change: &ProposedChange,
    wait: Option<u64>,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let answer = change.submit(client).await?;
    console.print(format!(
        "Written: {} at revision {}, change {}.",
        answer.key, answer.revision, answer.change
    ))?;
    let mut nodes = None;
    match wait {
        Some(seconds) => {
            let count = wait_until_in_force(client, &answer, Duration::from_secs(seconds)).await?;
            console.print(format!("In force on every node asked ({count})."))?;
            nodes = Some(count);
        }
        None => console.print("Not yet known to be in force; add --wait SECONDS to follow it.")?,
    }
    console.print_json(&json!({
        "key": answer.key,
        "revision": answer.revision,
        "change": answer.change,
        "nodes_in_force": nodes,
    }))
}

fn show_difference<W: Write>(
    change: &ProposedChange,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let title = match change.in_force_revision {
        Some(revision) => format!("Difference to revision {revision} in force"),
        None => format!("{} is new", change.name),
    };
    console.print(difference_text(&title, &change.difference()))
}

fn check_contracts<W: Write>(check: &ContractCheck, console: &mut OutputConsole<W>) -> Result<()> {
    if check.file.is_empty() {
        return Err(Error::Usage("give at least one contract file".into()));
    }
    let mut names = Vec::new();
    for file in &check.file {
        let document = load_document(DocumentKind::Contract, file)?;
        console.print(format!(
            "{}: contract of {} is valid",
            file.display(),
            document.name
        ))?;
        names.push(document.name);
    }
    console.print_json(&json!({ "valid": names }))
}

fn stop_from_flags(plan: &StopPlan) -> Result<CheckedDocument> {
    let (Some(name), Some(scope), Some(target)) = (&plan.name, &plan.scope, &plan.target) else {
        return Err(Error::Usage(
            "give NAME with --scope and --target, or --file FILE".into(),
        ));
    };
    let scope: ScopeDocument = scope.parse().map_err(|_| {
        Error::Usage(format!(
            "--scope {scope} is not one of vm, server, rack, data_centre"
        ))
    })?;
    let from_unix_ms = current_unix_ms() + 1_000 * plan.begins_in.unwrap_or(0);
    let document = StopDocument {
        stop: name.clone(),
        scope,
        target: target.clone(),
        from_unix_ms,
        until_unix_ms: plan.lasts.map(|seconds| from_unix_ms + 1_000 * seconds),
    };
    let text = serde_json::to_string_pretty(&document)
        .map_err(|error| Error::Failed(error.to_string()))?;
    CheckedDocument::parse(DocumentKind::Stop, &text)
        .map_err(|error| Error::Usage(error.to_string()))
}

fn create_key<W: Write>(console: &mut OutputConsole<W>) -> Result<()> {
    let mut secret = [0_u8; 32];
    rand::rng().fill_bytes(&mut secret);
    let digits: String = secret.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = format!("vb-{digits}");
    let digest = Digest::of(key.as_bytes());
    console.print(format!(
        "key     {key}\ndigest  {digest}\n\
         Give the key to its holder and write only the digest into documents and settings."
    ))?;
    console.print_json(&json!({ "key": key, "digest": digest.to_string() }))
}

fn load_document(kind: DocumentKind, file: &Path) -> Result<CheckedDocument> {
    CheckedDocument::load(kind, file)
}

fn current_unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
