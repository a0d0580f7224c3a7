//! Retries stay within the token bucket and respect backoff and server pushback.

use admission::retry::RetryBudget;
use units::Millis;

#[test]
fn retries_stay_within_budget() {
    let mut budget = RetryBudget::new(10);
    assert_eq!(
        budget.try_take_retry(Millis::new(0), 1, 0),
        None,
        "the token bucket is empty at first"
    );
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.record_fresh_request();
        // Every request fails and attempts two retries.
        taken += (1..=2)
            .filter(|it| budget.try_take_retry(Millis::new(0), *it, 0).is_some())
            .count();
    }
    assert_eq!(taken, 100);
}

#[test]
fn backoff_doubles_up_to_limit() {
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
fn pushback_delays_retry() {
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
