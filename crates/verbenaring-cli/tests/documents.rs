//! Checks of document files. The examples must be valid. Each invalid file in
//! `tests/bad` must be refused with the message in the text file next to it.

use std::path::Path;

use verbenaring_cli::document::CheckedDocument;
use verbenaring_protocol::rules::DocumentKind;

fn valid_contract(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Contract, file)?;
    Ok(())
}

fn valid_server(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Server, file)?;
    Ok(())
}

fn valid_stop(file: &Path) -> datatest_stable::Result<()> {
    CheckedDocument::load(DocumentKind::Stop, file)?;
    Ok(())
}

/// The file name begins with the kind of the document.
fn invalid_document(file: &Path) -> datatest_stable::Result<()> {
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    let kind = match name.split('-').next() {
        Some("contract") => DocumentKind::Contract,
        Some("server") => DocumentKind::Server,
        Some("stop") => DocumentKind::Stop,
        other => return Err(format!("unknown document kind {other:?}").into()),
    };
    let expected_message = std::fs::read_to_string(file.with_extension("txt"))?;
    let error = match CheckedDocument::load(kind, file) {
        Ok(document) => return Err(format!("{} was accepted", document.name).into()),
        Err(error) => error,
    };
    assert_eq!(error.exit_code(), 2);
    let message = error.to_string();
    assert_eq!(message.lines().count(), 1, "{message}");
    let message = message.replace(&format!("{}: ", file.display()), "");
    assert_eq!(message, expected_message.trim_end());
    Ok(())
}

datatest_stable::harness! {
    { test = valid_contract, root = "../../examples/contracts", pattern = r"\.json$" },
    { test = valid_server, root = "../../examples/servers", pattern = r"\.json$" },
    { test = valid_stop, root = "../../examples/stops", pattern = r"\.json$" },
    { test = invalid_document, root = "tests/bad", pattern = r"\.json$" },
}
