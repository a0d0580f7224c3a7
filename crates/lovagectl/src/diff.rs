//! What differs between two JSON documents, one line a value.

use serde_json::Value;

/// Returns a line for each value removed (`-`), added (`+`) or changed (`~`), sorted by path.
pub(crate) fn lines(before: &Value, after: &Value) -> Vec<String> {
    let (before, after) = (flatten(before), flatten(after));
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

/// Returns every plain value with its path, sorted by path.
fn flatten(value: &Value) -> Vec<(String, String)> {
    let mut out = Vec::new();
    walk("", value, &mut out);
    out.sort();
    out
}

fn walk(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = match path {
                    "" => name.clone(),
                    _ => format!("{path}.{name}"),
                };
                walk(&path, field, out);
            }
        }
        Value::Array(items) => {
            for (idx, item) in items.iter().enumerate() {
                walk(&format!("{path}[{}]", label(idx, item)), item, out);
            }
        }
        _ => out.push((path.to_owned(), value.to_string())),
    }
}

/// Endpoints are named by id, so that one more or less doesn't shift all that follow.
fn label(idx: usize, item: &Value) -> String {
    match item.get("id") {
        Some(id) => format!("id {id}"),
        None => idx.to_string(),
    }
}
