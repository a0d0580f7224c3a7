//! Compares two JSON documents and prints one line per changed value.

use serde_json::Value;

/// Returns a line for each JSON value removed (`-`), added (`+`) or changed (`~`), sorted by path.
pub(crate) fn diff_lines(before: &Value, after: &Value) -> Vec<String> {
    let (before, after) = (flatten_json(before), flatten_json(after));
    let mut lines = Vec::new();
    let (mut left, mut right) = (before.iter().peekable(), after.iter().peekable());
    loop {
        match (left.peek(), right.peek()) {
            (None, None) => return lines,
            (Some(a), Some(b)) if a.0 == b.0 => {
                if a.1 != b.1 {
                    lines.push(format!("~ {}: {} -> {}", a.0, a.1, b.1));
                }
                left.next();
                right.next();
            }
            (Some(a), b) if b.is_none_or(|b| a.0 < b.0) => {
                lines.push(format!("- {}: {}", a.0, a.1));
                left.next();
            }
            (_, Some(b)) => {
                lines.push(format!("+ {}: {}", b.0, b.1));
                right.next();
            }
            (Some(_), None) => unreachable!("the arm before takes a left side without a right one"),
        }
    }
}

/// Returns every scalar value of a JSON document with its path, sorted by path.
fn flatten_json(value: &Value) -> Vec<(String, String)> {
    let mut out = Vec::new();
    collect_scalars("", value, &mut out);
    out.sort();
    out
}

fn collect_scalars(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = match path {
                    "" => name.clone(),
                    _ => format!("{path}.{name}"),
                };
                collect_scalars(&path, field, out);
            }
        }
        Value::Array(items) => {
            for (idx, item) in items.iter().enumerate() {
                collect_scalars(&format!("{path}[{}]", item_label(idx, item)), item, out);
            }
        }
        _ => out.push((path.to_owned(), value.to_string())),
    }
}

/// Returns the label of an array item in a path: the item's id, or else its index.
///
/// With ids, adding or removing an endpoint doesn't change the paths of the endpoints after it.
fn item_label(idx: usize, item: &Value) -> String {
    match item.get("id") {
        Some(id) => format!("id {id}"),
        None => idx.to_string(),
    }
}
