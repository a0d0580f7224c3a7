//! Generated bodies belong to one request only.

use stand_ins::pattern::Pattern;

#[test]
fn own_body() {
    check("a", "a", 100_000, true);
    check("a", "b", 100_000, false);
    check("a", "a", 0, true);
    check("a", "a", 7, true);
}

#[test]
fn cut_body() {
    let body = body("a", 40_000);
    assert!(!Pattern::matches("a", 40_000, &body[..39_999]));
    assert!(!Pattern::matches("a", 39_999, &body));
}

fn check(made_for: &str, checked_for: &str, bytes: u64, expect: bool) {
    let body = body(made_for, bytes);
    assert_eq!(Pattern::matches(checked_for, bytes, &body), expect);
}

fn body(request_id: &str, bytes: u64) -> Vec<u8> {
    Pattern::new(request_id, bytes).flatten().collect()
}
