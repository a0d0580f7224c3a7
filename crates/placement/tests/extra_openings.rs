//! Decisions on openings that are offered to a second endpoint.

use placement::{EndpointLoad, ExtraOpenings, ExtraRefusal};
use units::{BasisPoints, Millis};

const CALM: Option<EndpointLoad> = Some(EndpointLoad {
    working: 300,
    idle: 100,
});

fn at(seconds: u64) -> Millis {
    Millis::new(100_000 + seconds * 1_000)
}

/// Creates decisions that allow a share and know of `placed` openings at second zero.
fn with_share(share: u16, placed: usize) -> ExtraOpenings {
    let mut extra = ExtraOpenings::new();
    extra.set_share(BasisPoints::new(share));
    for _ in 0..placed {
        extra.record_opening(at(0));
    }
    extra
}

/// Returns how many of 1,000 requests at a time are granted.
fn granted(extra: &mut ExtraOpenings, now: Millis) -> usize {
    (0..1_000)
        .filter(|_| extra.request_extra(now, CALM).is_ok())
        .count()
}

#[test]
fn delay_is_a_high_quantile_of_recent_waits() {
    // (waits as (time, number), delay)
    type Waits = &'static [(u64, usize)];
    let cases: [(Waits, Option<u64>); 7] = [
        (&[], None),
        (&[(10, 99)], None),
        (&[(2, 100)], Some(5)),
        (&[(2, 940), (30, 60)], Some(30)),
        (&[(2, 960), (30, 40)], Some(5)),
        (&[(9, 100), (5_000, 4)], Some(9)),
        (&[(60, 4_000), (8, 40_000)], Some(8)),
    ];
    for (waits, delay) in cases {
        let mut extra = with_share(200, 0);
        for (wait, number) in waits {
            for _ in 0..*number {
                extra.record_wait(Millis::new(*wait));
            }
        }
        assert_eq!(extra.delay(), delay.map(Millis::new), "{waits:?}");
        extra.set_share(BasisPoints::new(0));
        assert_eq!(extra.delay(), None, "{waits:?}, turned off");
    }
}

#[test]
fn budget_is_a_share_of_the_openings_of_ten_seconds() {
    for (share, placed, allowed) in [
        (0, 1_000, 0),
        (50, 1_000, 5),
        (200, 1_000, 20),
        (2_000, 1_000, 200),
        (200, 24, 0),
    ] {
        let mut extra = with_share(share, placed);
        assert_eq!(granted(&mut extra, at(0)), allowed, "{share} of {placed}");
        assert_eq!(granted(&mut extra, at(9)), 0, "the budget is spent");
        for _ in 0..placed {
            extra.record_opening(at(9));
        }
        assert_eq!(granted(&mut extra, at(9)), allowed, "placed since");
        assert_eq!(granted(&mut extra, at(10)), 0, "placed and spent alike");
        assert_eq!(granted(&mut extra, at(40)), 0, "nothing placed lately");
    }
}

#[test]
fn extra_openings_add_nothing_to_load() {
    let load = |working, idle| Some(EndpointLoad { working, idle });
    for (load, refusal) in [
        (load(0, 0), None),
        (load(500, 100), None),
        (load(700, 0), Some(ExtraRefusal::Busy)),
        (load(400, 300), Some(ExtraRefusal::Busy)),
        (load(u16::MAX, u16::MAX), Some(ExtraRefusal::Busy)),
        (None, Some(ExtraRefusal::Busy)),
    ] {
        let mut extra = with_share(200, 100);
        assert_eq!(extra.request_extra(at(0), load).err(), refusal, "{load:?}");
        let left = if refusal.is_some() { 2 } else { 1 };
        assert_eq!(granted(&mut extra, at(0)), left, "refusals spend nothing");
    }
}
