//! Documents in files: examples must be valid, and a bad file must be refused
//! with a message that names its fault.

use std::path::Path;

use verbenaring_cli::document::CheckedDocument;
use verbenaring_protocol::rules::DocumentKind;

fn contract(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Contract, file)?;
    Ok(())
}

fn server(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Server, file)?;
    Ok(())
}

fn stop(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Stop, file)?;
    Ok(())
}

/// The first part of the file name is the kind of the document.
fn bad(file: &Path) -> datatest_stable::Result<()> {
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let kind = match name.split('-').next() {
        Some("contract") => DocumentKind::Contract,
        Some("server") => DocumentKind::Server,
        Some("stop") => DocumentKind::Stop,
        other => return Err(format!("unknown kind {other:?}").into()),
    };
    let expected = std::fs::read_to_string(file.with_extension("txt"))?;
    let error = match CheckedDocument::load(kind, file) {
        Ok(document) => return Err(format!("accepted {}", document.name).into()),
        Err(error) => error,
    };
    assert_eq!(error.exit_code(), 2);
    let message = error.to_string();
    assert_eq!(message.lines().count(), 1, "{message}");
    let message = message.replace(&format!("{}: ", file.display()), "");
    assert_eq!(message, expected.trim_end());
    Ok(())
}

datatest_stable::harness! {
    { test = contract, root = "../../examples/contracts", pattern = r"\.json$" },
    { test = server, root = "../../examples/servers", pattern = r"\.json$" },
    { test = stop, root = "../../examples/stops", pattern = r"\.json$" },
    { test = bad, root = "tests/bad", pattern = r"\.json$" },
}
