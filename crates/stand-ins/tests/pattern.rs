//! A generated body matches only the request id and length that it was generated for.

use stand_ins::pattern::Pattern;

#[test]
fn body_matches_only_its_request_id() {
    check_match("a", "a", 100_000, true);
    check_match("a", "b", 100_000, false);
    check_match("a", "a", 0, true);
    check_match("a", "a", 7, true);
}

#[test]
fn truncated_body_does_not_match() {
    let body = generate_body("a", 40_000);
    assert!(!Pattern::matches("a", 40_000, &body[..39_999]));
    assert!(!Pattern::matches("a", 39_999, &body));
}

fn check_match(made_for: &str, checked_for: &str, bytes: u64, expect: bool) {
    let body = generate_body(made_for, bytes);
    assert_eq!(Pattern::matches(checked_for, bytes, &body), expect);
}

fn generate_body(request_id: &str, bytes: u64) -> Vec<u8> {
    Pattern::new(request_id, bytes).flatten().collect()
}
