//! Difference of two JSON documents, field by field.

use std::collections::BTreeSet;

use serde_json::{Value, json};

/// Lines that show the difference: `- PATH: VALUE` for each old and `+ PATH: VALUE`
/// for each new value of a changed field. Null means that a document is absent.
pub fn document_difference(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    collect_differences("", old, new, &mut lines);
    lines
}

/// Formats the lines of a difference as text under a title.
pub fn difference_text(title: &str, lines: &[String]) -> String {
    if lines.is_empty() {
        return format!("{title}: no difference\n");
    }
    let mut text = format!("{title}:\n");
    for line in lines {
        text.push_str("  ");
        text.push_str(line);
        text.push('\n');
    }
    text
}

fn collect_differences(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        _ if old == new => {}
        // An absent object counts as an empty one, so that each field gets its line.
        (Value::Null, Value::Object(_)) => collect_differences(path, &json!({}), new, lines),
        (Value::Object(_), Value::Null) => collect_differences(path, old, &json!({}), lines),
        (Value::Object(before), Value::Object(after)) => {
            let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for name in names {
                let path = join_path(path, name);
                let field = |fields: &serde_json::Map<String, Value>| {
                    fields.get(name).cloned().unwrap_or(Value::Null)
                };
                collect_differences(&path, &field(before), &field(after), lines);
            }
        }
        (Value::Array(before), Value::Array(after)) => {
            if let (Some(before), Some(after)) = (calls_by_service(before), calls_by_service(after))
            {
                return collect_differences(path, &before, &after, lines);
            }
            // Lists are compared as sets, because their order has no meaning in any
            // document.
            for value in before.iter().filter(|value| !after.contains(value)) {
                lines.push(format!("- {path}: {value}"));
            }
            for value in after.iter().filter(|value| !before.contains(value)) {
                lines.push(format!("+ {path}: {value}"));
            }
        }
        _ => {
            if !old.is_null() {
                lines.push(format!("- {path}: {old}"));
            }
            if !new.is_null() {
                lines.push(format!("+ {path}: {new}"));
            }
        }
    }
}

/// Object with the calls of each service by its name, so that only the changed calls
/// of a service are shown. `None` if a value is not a service.
fn calls_by_service(values: &[Value]) -> Option<Value> {
    let mut services = serde_json::Map::new();
    for value in values {
        let name = value["service"].as_str()?;
        services.insert(name.to_owned(), value["calls"].clone());
    }
    Some(Value::Object(services))
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
