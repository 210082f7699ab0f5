//! Commands that query a node and show the result, mostly as a table.

use std::io::Write;

use serde_json::value::RawValue;
use verbenaring_protocol::document::{ScopeDocument, ServerDocument, StopDocument};
use verbenaring_protocol::node::{EntryList, OperationStatus};
use verbenaring_protocol::operator::{
    ContractReport, DocumentList, DocumentView, EventList, UsageReport,
};
use verbenaring_protocol::rules::DocumentKind;

use crate::client::NodeClient;
use crate::console::OutputConsole;
use crate::error::{Error, Result};
use crate::table::{or_dash, text_table};
use crate::usage::{CombinedReport, check_statements, show_usage};

/// Lists the contracts with their revisions and states.
pub async fn list_contracts<W: Write>(
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let list = client.documents(DocumentKind::Contract).await?;
    let rows = existing_documents(&list).map(|view| {
        let [in_force, stored, change] = revision_cells(view);
        [
            document_name(view),
            in_force,
            stored,
            change,
            describe_state(view),
        ]
    });
    let titles = ["CUSTOMER", "IN FORCE", "STORED", "CHANGE", "STATE"];
    console.print(text_table(titles, rows))?;
    print_store_fault(&list, console)?;
    console.print_json(&list)
}

/// Lists the backend servers with their properties and states.
pub async fn list_servers<W: Write>(
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let list = client.documents(DocumentKind::Server).await?;
    let rows = existing_documents(&list).map(|view| {
        let server = parse_content::<ServerDocument>(view);
        let offers = server.as_ref().map(|server| {
            let offered = server.models.iter().chain(&server.services);
            offered.cloned().collect::<Vec<_>>().join(" ")
        });
        [
            document_name(view),
            or_dash(server.as_ref().map(|server| server.kind)),
            or_dash(server.as_ref().map(|server| &server.address)),
            or_dash(server.as_ref().map(|server| server.slots)),
            or_dash(offers),
            or_dash(server.as_ref().map(|server| server.leaving)),
            revision_cells(view)[0].clone(),
            describe_state(view),
        ]
    });
    let titles = [
        "SERVER", "KIND", "ADDRESS", "SLOTS", "OFFERS", "LEAVING", "IN FORCE", "STATE",
    ];
    console.print(text_table(titles, rows))?;
    print_store_fault(&list, console)?;
    console.print_json(&list)
}

/// Lists the planned stops, with times relative to the current time `unix_ms`.
pub async fn list_stops<W: Write>(
    client: &NodeClient,
    unix_ms: u64,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let list = client.documents(DocumentKind::Stop).await?;
    let rows = existing_documents(&list).map(|view| {
        let stop = parse_content::<StopDocument>(view);
        let stop = stop.as_ref();
        let until = stop.map(|stop| match stop.until_unix_ms {
            Some(until) => relative_time(until, unix_ms),
            None => "open".into(),
        });
        [
            document_name(view),
            or_dash(stop.map(|stop| scope_name(stop.scope))),
            or_dash(stop.map(|stop| &stop.target)),
            or_dash(stop.map(|stop| relative_time(stop.from_unix_ms, unix_ms))),
            or_dash(until),
            describe_state(view),
        ]
    });
    let titles = ["STOP", "SCOPE", "TARGET", "BEGINS", "ENDS", "STATE"];
    console.print(text_table(titles, rows))?;
    print_store_fault(&list, console)?;
    console.print_json(&list)
}

/// Shows one document with its revisions and state, or only its text. The text is the
/// stored one, or the one in force if none is stored.
pub async fn show_document<W: Write>(
    client: &NodeClient,
    kind: DocumentKind,
    name: &str,
    document_only: bool,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let view = find_document(client, kind, name).await?;
    let stored = view.stored.as_ref();
    let in_force = view.in_force.as_ref();
    let text = stored
        .and_then(|stored| stored.document.as_deref())
        .or(in_force.map(|document| &*document.document));
    if document_only {
        console.print(text.map_or("null".into(), format_document))?;
        return console.print_json(&text);
    }
    let [in_force, stored, change] = revision_cells(&view);
    console.print(format!(
        "{}\nin force  {in_force}\nstored    {stored}\nchange    {change}\nstate     {}",
        view.key,
        describe_state(&view)
    ))?;
    if let Some(text) = text {
        console.print(format_document(text))?;
    }
    console.print_json(&view)
}

/// Shows which amendment wrote the current entry and which revision it amended.
pub async fn show_history<W: Write>(
    client: &NodeClient,
    kind: DocumentKind,
    name: &str,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let view = find_document(client, kind, name).await?;
    let Some(stored) = &view.stored else {
        return Err(Error::Failed(format!(
            "{} cannot be read from the platform store",
            view.key
        )));
    };
    let content = if stored.document.is_some() {
        "document"
    } else {
        "deleted or unreadable"
    };
    let current = [
        stored.revision.to_string(),
        stored.change.to_string(),
        content.into(),
    ];
    let base = [
        stored.base.to_string(),
        "-".into(),
        if stored.base == 0 {
            "no entry before"
        } else {
            "not kept by the store"
        }
        .into(),
    ];
    console.print(text_table(
        ["REVISION", "CHANGE", "CONTENT"],
        [current, base],
    ))?;
    console.print_json(stored)
}

/// Shows the status of all nodes, their servers and the documents that they could not
/// read.
pub async fn show_status<W: Write>(
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let list = client.statuses().await?;
    let rows = list.nodes.iter().map(|node| {
        [
            node.vm.clone(),
            node.region.clone(),
            node.data_centre.clone(),
            node.revision.to_string(),
            yes_or_no(node.stopping),
            node.faults.len().to_string(),
        ]
    });
    let titles = [
        "NODE",
        "REGION",
        "DATA CENTRE",
        "REVISION",
        "STOPPING",
        "FAULTS",
    ];
    console.print(text_table(titles, rows))?;
    let servers = list.nodes.iter().flat_map(|node| {
        node.servers.iter().map(|server| {
            [
                node.vm.clone(),
                server.server.clone(),
                server.address.clone(),
                server.requests.to_string(),
                server.tokens.to_string(),
                yes_or_no(server.leaving),
            ]
        })
    });
    let titles = ["NODE", "SERVER", "ADDRESS", "REQUESTS", "TOKENS", "LEAVING"];
    console.print(format!("\n{}", text_table(titles, servers)))?;
    for node in &list.nodes {
        for fault in &node.faults {
            console.print(format!(
                "{}: {} at revision {} cannot be read, the previous one stays in force: {}",
                node.vm, fault.key, fault.revision, fault.reason
            ))?;
        }
    }
    print_missing_nodes(&list.missing, console)?;
    console.print_json(&list)
}

/// Shows the counters of the contracts and the usage of the members.
///
/// Fails if a usage statement was changed, or if none has the digest `head`.
pub async fn show_report<W: Write>(
    client: &NodeClient,
    head: Option<&str>,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let report: ContractReport = client.get("report").await?;
    let rows = report.contracts.iter().map(|counters| {
        [
            counters.customer.clone(),
            counters.requests.to_string(),
            counters.whole.to_string(),
            counters.not_run.to_string(),
            counters.unknown.to_string(),
            counters.caller_gone.to_string(),
            counters.tokens.to_string(),
        ]
    });
    let titles = [
        "CUSTOMER",
        "REQUESTS",
        "WHOLE",
        "NOT RUN",
        "UNKNOWN",
        "CALLER GONE",
        "TOKENS",
    ];
    console.print(format!("Node {} since its start", report.vm))?;
    console.print(text_table(titles, rows))?;
    let usage: UsageReport = client.get("usage").await?;
    show_usage(&usage, console)?;
    console.print_json(&CombinedReport {
        report: &report,
        usage: &usage,
    })?;
    check_statements(&usage, head)
}

/// Shows timeline events. One of `request` and `since` must be given.
pub async fn show_timeline<W: Write>(
    client: &NodeClient,
    request: Option<&str>,
    since: Option<u64>,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    if request.is_none() && since.is_none() {
        return Err(Error::Usage(
            "give timeline --request ID or --since SEQUENCE".into(),
        ));
    }
    let list = read_timeline(client, request, since.unwrap_or(0)).await?;
    if list.events.is_empty() {
        console.print("No event is kept; a node keeps its last 4,096 events.")?;
    } else {
        let first = list.events.first().map_or(0, |event| event.time);
        let rows = list.events.iter().map(|event| {
            [
                event.sequence.to_string(),
                format!("{:.6}", ntp_seconds(event.time)),
                format!(
                    "{:+.3}",
                    1_000.0 * (ntp_seconds(event.time) - ntp_seconds(first))
                ),
                event.vm.clone(),
                event.kind.clone(),
                or_dash((!event.request.is_empty()).then_some(&event.request)),
                or_dash(event.attempt),
            ]
        });
        let titles = ["SEQ", "UNIX S", "MS", "NODE", "EVENT", "REQUEST", "ATTEMPT"];
        console.print(text_table(titles, rows))?;
    }
    print_missing_nodes(&list.missing, console)?;
    console.print_json(&list)
}

/// Requests the timeline events from the sequence number `since` on, only those of
/// one request if given.
pub async fn read_timeline(
    client: &NodeClient,
    request: Option<&str>,
    since: u64,
) -> Result<EventList> {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.append_pair("since", &since.to_string());
    if let Some(request) = request {
        query.append_pair("request", request);
    }
    client.get(&format!("timeline?{}", query.finish())).await
}

/// Shows the recorded state and outcome of an operation.
pub async fn show_operation<W: Write>(
    client: &NodeClient,
    customer: &str,
    key: &str,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    check_name(&format!("{customer}/{key}"))?;
    let status: OperationStatus = client.get(&format!("operations/{customer}/{key}")).await?;
    console.print(format!(
        "operation  {}\nstate      {}\noutcome    {}\nstatus     {}",
        status.key,
        status.state,
        status.outcome.as_str(),
        or_dash(status.status)
    ))?;
    console.print_json(&status)
}

/// Lists the entry VMs that callers should use.
pub async fn show_entry<W: Write>(
    client: &NodeClient,
    console: &mut OutputConsole<W>,
) -> Result<()> {
    let list: EntryList = client.get("entry").await?;
    let entries = list.entries.iter().map(|entry| ("entry", entry));
    let spares = list.spares.iter().map(|entry| ("spare", entry));
    let rows = entries.chain(spares).map(|(rank, entry)| {
        [
            rank.into(),
            entry.vm.clone(),
            entry.region.clone(),
            entry.data_centre.clone(),
            entry.caller_address.clone(),
        ]
    });
    let titles = ["RANK", "NODE", "REGION", "DATA CENTRE", "ADDRESS"];
    console.print(text_table(titles, rows))?;
    console.print(format!("Valid for {} s.", list.ttl_s))?;
    console.print_json(&list)
}

async fn find_document(
    client: &NodeClient,
    kind: DocumentKind,
    name: &str,
) -> Result<DocumentView> {
    check_name(name)?;
    client.document(kind, name).await?.ok_or_else(|| {
        Error::Failed(format!(
            "{}{name} does not exist; list the names with `verbenaring {}`",
            kind.prefix(),
            match kind {
                DocumentKind::Contract => "contract list",
                DocumentKind::Server => "capacity show",
                DocumentKind::Stop => "stop list",
            }
        ))
    })
}

/// Checks that a name consists of valid characters, because it becomes part of the
/// path of a request.
fn check_name(name: &str) -> Result<()> {
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    if !name.is_empty() && name.bytes().all(valid) {
        return Ok(());
    }
    Err(Error::Usage(format!(
        "{name:?} is not a name of letters, digits, '.', '_' and '-'"
    )))
}

/// Documents of a list, without deleted ones that the node no longer has in force.
fn existing_documents(list: &DocumentList) -> impl Iterator<Item = &DocumentView> {
    list.documents.iter().filter(|view| {
        let stored = view.stored.as_ref();
        let deleted = stored.is_some_and(|stored| stored.document.is_none());
        view.in_force.is_some() || view.fault.is_some() || !deleted
    })
}

fn document_name(view: &DocumentView) -> String {
    let mut segments = view.key.splitn(3, '/');
    segments.nth(2).unwrap_or(&view.key).to_owned()
}

/// Revision in force, stored revision and stored change, each `-` if there is none.
fn revision_cells(view: &DocumentView) -> [String; 3] {
    let stored = view.stored.as_ref();
    [
        or_dash(view.in_force.as_ref().map(|document| document.revision)),
        or_dash(stored.map(|stored| stored.revision)),
        or_dash(stored.map(|stored| stored.change)),
    ]
}

fn describe_state(view: &DocumentView) -> String {
    if let Some(fault) = &view.fault {
        return format!("unreadable: {fault}");
    }
    match (&view.in_force, &view.stored) {
        (Some(document), Some(stored)) if document.revision == stored.revision => "in force".into(),
        (_, Some(stored)) if stored.document.is_none() => "deleted".into(),
        (_, Some(_)) => "not yet in force here".into(),
        (_, None) => "in force, not in the store".into(),
    }
}

fn parse_content<T: serde::de::DeserializeOwned>(view: &DocumentView) -> Option<T> {
    let in_force = view.in_force.as_ref().map(|document| &document.document);
    let stored = view.stored.as_ref();
    let text = in_force.or(stored.and_then(|stored| stored.document.as_ref()))?;
    serde_json::from_str(text.get()).ok()
}

/// Text of a document as its author formatted it, or indented if it is a single line.
fn format_document(text: &RawValue) -> String {
    if text.get().contains('\n') {
        return text.get().to_owned();
    }
    serde_json::from_str::<serde_json::Value>(text.get())
        .and_then(|value| serde_json::to_string_pretty(&value))
        .unwrap_or_else(|_| text.get().to_owned())
}

fn print_store_fault<W: Write>(list: &DocumentList, console: &mut OutputConsole<W>) -> Result<()> {
    match &list.store_fault {
        Some(fault) => console.print(format!("Stored revisions are missing: {fault}.")),
        None => Ok(()),
    }
}

fn print_missing_nodes<W: Write>(missing: &[String], console: &mut OutputConsole<W>) -> Result<()> {
    if missing.is_empty() {
        return Ok(());
    }
    console.print(format!(
        "Nodes that could not be asked: {}.",
        missing.join(", ")
    ))
}

fn yes_or_no(value: bool) -> String {
    if value { "yes".into() } else { "no".into() }
}

fn scope_name(scope: ScopeDocument) -> &'static str {
    match scope {
        ScopeDocument::Vm => "vm",
        ScopeDocument::Server => "server",
        ScopeDocument::Rack => "rack",
        ScopeDocument::DataCentre => "data_centre",
    }
}

fn relative_time(unix_ms: u64, now_ms: u64) -> String {
    if unix_ms >= now_ms {
        format!("in {} s", (unix_ms - now_ms) / 1_000)
    } else {
        format!("{} s ago", (now_ms - unix_ms) / 1_000)
    }
}

/// Converts a 64-bit NTP time to seconds; its upper 32 bits are whole seconds.
fn ntp_seconds(time: u64) -> f64 {
    time as f64 / 4_294_967_296.0
}
