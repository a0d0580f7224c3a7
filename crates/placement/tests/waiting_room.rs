//! Which of the openings that wait for a slot goes next.

use placement::{WaitingRoom, Wish, expected_wait};
use units::{Millis, Slots};

const WORK_MS: Millis = Millis::new(30);

/// An opening of a route with a priority, which arrived, has its goal and is given up at a time.
fn wish(route: u64, priority: u8, arrived: u64, goal: u64) -> Wish {
    let [arrived, goal, give_up] = [arrived, goal, arrived + 1_400].map(Millis::new);
    Wish::new(route, priority, arrived, goal, give_up)
}

/// Returns the order in which openings go if all go at `now`.
fn order(wishes: &[Wish], now: u64) -> Vec<usize> {
    let mut room = WaitingRoom::default();
    for (number, wish) in wishes.iter().enumerate() {
        room.insert(*wish, number).expect("there is room");
    }
    std::iter::from_fn(|| room.take_next(Millis::new(now), WORK_MS))
        .map(|it| it.1)
        .collect()
}

#[test]
fn openings_go_by_urgency() {
    let cases = [
        (
            "the earlier goal",
            vec![wish(1, 0, 0, 300), wish(1, 0, 1, 200)],
            10,
            vec![1, 0],
        ),
        (
            "the higher priority",
            vec![wish(1, 1, 0, 200), wish(2, 0, 1, 300)],
            10,
            vec![1, 0],
        ),
        (
            "late work goes behind work that can be in time",
            vec![wish(1, 0, 0, 110), wish(1, 0, 1, 300)],
            100,
            vec![1, 0],
        ),
        (
            "nobody starves behind what is more urgent",
            vec![
                wish(1, 1, 0, 200),
                wish(2, 0, 350, 650),
                wish(2, 0, 360, 660),
            ],
            400,
            vec![0, 1, 2],
        ),
        (
            "a burst of one route takes turns with the others",
            vec![
                wish(1, 0, 0, 300),
                wish(1, 0, 1, 301),
                wish(1, 0, 2, 302),
                wish(2, 0, 3, 400),
                wish(2, 0, 4, 401),
            ],
            10,
            vec![0, 3, 1, 4, 2],
        ),
    ];
    for (name, wishes, now, expect) in cases {
        assert_eq!(order(&wishes, now), expect, "{name}");
    }
}

#[test]
fn room_is_bounded_and_forgets_openings_that_were_given_up() {
    let mut room = WaitingRoom::default();
    let mut taken = 0;
    while room.insert(wish(1, 0, taken, 300), taken).is_ok() {
        taken += 1;
    }
    assert_eq!(taken, 64);
    assert!(room.is_full());
    assert_eq!(room.next_expiry(), Some(Millis::new(1_400)));
    assert_eq!(room.take_expired(Millis::new(1_401)), vec![0, 1]);
    assert_eq!(room.take_all().len(), 62);
    assert!(room.is_empty());
}

#[test]
fn wait_is_expected_from_the_requests_ahead() {
    for (ahead, slots, expect) in [
        (0, 2, 0),
        (1, 2, 0),
        (2, 2, 15),
        (5, 2, 60),
        (5, 5, 6),
        (3, 0, 90),
    ] {
        let wait = expected_wait(ahead, WORK_MS, Slots::new(slots));
        assert_eq!(wait.get(), expect, "{ahead} ahead, {slots} slots");
    }
}

#[test]
fn removed_opening_is_not_delivered() {
    let mut room = WaitingRoom::default();
    for number in 0..3 {
        room.insert(wish(1, 0, number, 300), number)
            .expect("there is room");
    }
    assert_eq!(room.remove(|it| *it == 1), Some(1));
    assert_eq!(room.remove(|it| *it == 1), None);
    let rest = std::iter::from_fn(|| room.take_next(Millis::new(10), WORK_MS));
    assert_eq!(rest.map(|it| it.1).collect::<Vec<_>>(), [0, 2]);
}
