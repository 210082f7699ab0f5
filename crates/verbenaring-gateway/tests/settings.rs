//! Validation of settings files; each file in `tests/settings` is one case.

use std::path::Path;
use std::process::Command;

use verbenaring_gateway::config::NodeSettings;

type TestResult = datatest_stable::Result<()>;

/// A valid file must not be refused.
fn accept_good_file(file: &Path) -> TestResult {
    NodeSettings::load(file)?;
    Ok(())
}

/// An invalid file must be refused with one line that names the file, the field and
/// the allowed values. The expected line is in the `.txt` file beside it.
fn refuse_bad_file(file: &Path) -> TestResult {
    let expected = std::fs::read_to_string(file.with_extension("txt"))?;
    let expected = expected.replace("{fields}", &known_fields()?);
    let Err(error) = NodeSettings::load(file) else {
        return Err("file was accepted".into());
    };
    assert_eq!(error.to_string(), expected.trim_end());
    for flag in ["--settings", "--check-settings"] {
        let output = Command::new(env!("CARGO_BIN_EXE_verbenaringd"))
            .arg(flag)
            .arg(file)
            .output()?;
        assert_eq!(output.status.code(), Some(2), "{flag}");
        let line = format!("verbenaringd: {expected}");
        assert_eq!(String::from_utf8(output.stderr)?, line, "{flag}");
        assert_eq!(String::from_utf8(output.stdout)?, "", "{flag}");
    }
    Ok(())
}

/// Fields of the schema, listed as in the error about an unknown field.
fn known_fields() -> datatest_stable::Result<String> {
    let schema = include_str!("../../../schemas/settings.schema.json");
    let schema: serde_json::Value = serde_json::from_str(schema)?;
    let fields = schema["properties"].as_object().ok_or("no properties")?;
    let mut names: Vec<String> = fields.keys().map(|name| format!("`{name}`")).collect();
    names.sort();
    Ok(names.join(", "))
}

datatest_stable::harness! {
    { test = accept_good_file, root = "tests/settings/good", pattern = r"\.json$" },
    { test = refuse_bad_file, root = "tests/settings/bad", pattern = r"\.json$" },
}
