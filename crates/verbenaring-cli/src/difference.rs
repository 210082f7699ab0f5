//! Difference of two documents, field by field.

use std::collections::BTreeSet;

use serde_json::{Value, json};

/// One line per changed field, `- ` for the old and `+ ` for the new value.
pub fn document_difference(old: &Value, new: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", old, new, &mut lines);
    lines
}

/// Difference as text under a title.
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

fn compare(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    match (old, new) {
        _ if old == new => {}
        // What is absent has no fields.
        (Value::Null, Value::Object(_)) => compare(path, &json!({}), new, lines),
        (Value::Object(_), Value::Null) => compare(path, old, &json!({}), lines),
        (Value::Object(before), Value::Object(after)) => {
            let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for name in names {
                let path = join(path, name);
                let field = |fields: &serde_json::Map<String, Value>| {
                    fields.get(name).cloned().unwrap_or(Value::Null)
                };
                compare(&path, &field(before), &field(after), lines);
            }
        }
        (Value::Array(before), Value::Array(after)) => {
            if let (Some(before), Some(after)) = (by_service(before), by_service(after)) {
                return compare(path, &before, &after, lines);
            }
            // Lists are sets: their order has no meaning in any document.
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

/// Services by name, so that a changed call is shown without its neighbours.
fn by_service(values: &[Value]) -> Option<Value> {
    let mut services = serde_json::Map::new();
    for value in values {
        let name = value["service"].as_str()?;
        services.insert(name.to_owned(), value["calls"].clone());
    }
    Some(Value::Object(services))
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
