//! Retries stay within the budget.

use admission::retry::RetryBudget;
use units::Millis;

#[test]
fn within_budget() {
    let mut budget = RetryBudget::new(10);
    assert_eq!(
        budget.try_take_retry(Millis::new(0), 1, 0),
        None,
        "nothing is saved yet"
    );
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.record_fresh_request();
        // Every request fails and asks for two retries.
        taken += (1..=2)
            .filter(|it| budget.try_take_retry(Millis::new(0), *it, 0).is_some())
            .count();
    }
    assert_eq!(taken, 100);
}

#[test]
fn backoff_grows() {
    let mut budget = RetryBudget::new(100);
    let mut check = |retry, random, expect_ms| {
        budget.record_fresh_request();
        let wait_ms = budget.try_take_retry(Millis::new(0), retry, random);
        assert_eq!(wait_ms, Some(Millis::new(expect_ms)), "retry {retry}");
    };
    check(1, 0, 25);
    check(1, 25, 50);
    check(2, 0, 50);
    check(3, 100, 200);
    check(30, 0, 2_500);
}

#[test]
fn record_pushback() {
    let mut budget = RetryBudget::new(100);
    budget.record_fresh_request();
    budget.record_fresh_request();
    budget.record_pushback(Millis::new(1_000), Millis::new(500));
    assert_eq!(
        budget.try_take_retry(Millis::new(1_100), 1, 0),
        Some(Millis::new(425))
    );
    assert_eq!(
        budget.try_take_retry(Millis::new(2_000), 1, 0),
        Some(Millis::new(25))
    );
}
