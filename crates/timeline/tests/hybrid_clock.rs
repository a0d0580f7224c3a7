//! The hybrid logical clock issues strictly increasing stamps and refuses stamps far in the future.

use timeline::{ClockError, HybridLogicalClock, Stamp};
use units::Millis;

fn stamp(unix_ms: u64, logical: u32) -> Stamp {
    Stamp::new(Millis::new(unix_ms), logical)
}

#[test]
fn tick_increases_when_wall_clock_stalls_or_goes_back() {
    let mut clock = HybridLogicalClock::new();
    let mut check = |wall, expect| assert_eq!(clock.issue_stamp(Millis::new(wall)), expect);
    check(100, stamp(100, 0));
    check(100, stamp(100, 1));
    check(40, stamp(100, 2));
    check(101, stamp(101, 0));
}

#[test]
fn observe_advances_past_remote_stamp() {
    let mut clock = HybridLogicalClock::new();
    clock.issue_stamp(Millis::new(100));
    let res = clock.observe_stamp(stamp(150, 4), Millis::new(110));
    assert_eq!(res, Ok(stamp(150, 5)));
    assert_eq!(clock.issue_stamp(Millis::new(111)), stamp(150, 6));
}

#[test]
fn stamp_beyond_max_drift_is_refused() {
    let mut clock = HybridLogicalClock::new().with_drift_max(Millis::new(10));
    clock.issue_stamp(Millis::new(100));
    let res = clock.observe_stamp(stamp(111, 0), Millis::new(100));
    let expect = ClockError::FarFuture {
        ahead_ms: Millis::new(11),
        max_ms: Millis::new(10),
    };
    assert_eq!(res, Err(expect));
    assert_eq!(clock.issue_stamp(Millis::new(100)), stamp(100, 1));
}

#[test]
fn stamps_increase_for_random_wall_times() {
    bolero::check!()
        .with_iterations(500)
        .with_type::<Vec<(u16, Option<(u16, u32)>)>>()
        .for_each(|steps| {
            let mut clock = HybridLogicalClock::new().with_drift_max(Millis::new(100));
            let mut last = stamp(0, 0);
            for &(wall, remote) in steps {
                let wall = Millis::new(u64::from(wall) + 1);
                let remote = remote.map(|(ms, logical)| stamp(u64::from(ms), logical));
                let next = match remote {
                    None => clock.issue_stamp(wall),
                    Some(remote) => match clock.observe_stamp(remote, wall) {
                        Ok(next) => {
                            assert!(next > remote);
                            next
                        }
                        Err(ClockError::FarFuture { .. }) => {
                            assert!(remote.unix_ms.since(wall) > Millis::new(100));
                            continue;
                        }
                    },
                };
                assert!(next > last);
                last = next;
            }
        });
}
