//! A silent path is asked, then replaced; a quiet one is left alone.

use balancer::{PathAction, PathMonitor};
use flow::table::Traffic;
use units::{EndpointId, Millis};

const AGENT: EndpointId = EndpointId::new(1);
const TICK_MS: u64 = 100;

/// Steps a watch over ticks; `sent` and `answered` say what each tick saw.
struct Steps {
    watch: PathMonitor,
    now: Millis,
    traffic: Traffic,
}

impl Steps {
    fn new() -> Self {
        let traffic = Traffic {
            sent: 0,
            answered: 0,
        };
        Self {
            watch: PathMonitor::default(),
            now: Millis::new(1_000),
            traffic,
        }
    }

    fn tick(&mut self, sent: u64, answered: u64) -> PathAction {
        self.now = self.now.plus(Millis::new(TICK_MS));
        self.traffic.sent += sent;
        self.traffic.answered += answered;
        self.watch.observe(self.now, AGENT, self.traffic)
    }

    /// Ticks until something other than nothing is to be done.
    fn until_action(&mut self, sent: u64) -> PathAction {
        for _ in 0..100 {
            let action = self.tick(sent, 0);
            if action != PathAction::None {
                return action;
            }
        }
        panic!("nothing was done in 10 s");
    }

    fn until_rotation(&mut self) -> u32 {
        loop {
            if let PathAction::Rotate { nonce, .. } = self.until_action(1) {
                return nonce;
            }
        }
    }
}

#[test]
fn answered_path() {
    let mut steps = Steps::new();
    for _ in 0..50 {
        assert_eq!(steps.tick(3, 1), PathAction::None);
    }
}

#[test]
fn idle_path() {
    let mut steps = Steps::new();
    for _ in 0..50 {
        assert_eq!(steps.tick(0, 0), PathAction::None);
    }
    assert_eq!(
        steps.tick(1, 0),
        PathAction::None,
        "the first datagram may still be answered"
    );
}

#[test]
fn sparse_traffic() {
    let mut steps = Steps::new();
    steps.tick(1, 1);
    steps.tick(1, 0);
    assert_eq!(
        (steps.tick(0, 0), steps.tick(0, 0)),
        (PathAction::None, PathAction::None)
    );
    assert_eq!(
        steps.tick(0, 0),
        PathAction::Echo { nonce: 1 },
        "one datagram is enough"
    );
}

#[test]
fn many_quiet_paths() {
    let mut watch = PathMonitor::default();
    let mut asked = 0;
    for at_ms in [1_000, 1_400] {
        for id in 0..100 {
            let traffic = Traffic {
                sent: at_ms,
                answered: 0,
            };
            let action = watch.observe(Millis::new(at_ms), EndpointId::new(id), traffic);
            let traffic = Traffic {
                sent: at_ms + 1,
                answered: 0,
            };
            let next = watch.observe(Millis::new(at_ms), EndpointId::new(id), traffic);
            asked += [action, next]
                .iter()
                .filter(|it| **it != PathAction::None)
                .count();
        }
    }
    assert_eq!(asked, 6, "questions begun in one step are limited");
}

#[test]
fn answers_elsewhere() {
    let mut steps = Steps::new();
    for _ in 0..50 {
        if let PathAction::Echo { nonce } = steps.tick(3, 0) {
            steps.watch.handle_echo_reply(AGENT, nonce);
        }
    }
    let rotated = (0..50).any(|_| {
        let action = steps.tick(3, 0);
        if let PathAction::Echo { nonce } = action {
            steps.watch.handle_echo_reply(AGENT, nonce);
        }
        matches!(action, PathAction::Rotate { .. })
    });
    assert!(
        !rotated,
        "the path answers echoes, though callers are answered by other balancers"
    );
}

#[test]
fn silent_path() {
    let mut steps = Steps::new();
    steps.tick(1, 1);
    let silent_since = steps.now;
    let nonce = steps.until_rotation();
    assert!(
        steps.now.since(silent_since) <= Millis::new(1_000),
        "{}",
        steps.now
    );
    steps.watch.handle_echo_reply(AGENT, nonce);
    assert_eq!(steps.tick(1, 1), PathAction::None, "the fresh path answers");
}

#[test]
fn late_answer() {
    let mut steps = Steps::new();
    steps.tick(1, 1);
    let nonce = steps.until_rotation();
    steps.watch.handle_echo_reply(AGENT, nonce - 1);
    // Three echoes lie between two rotations.
    assert_eq!(
        steps.until_rotation(),
        nonce + 4,
        "an answer on the old path proves nothing"
    );
}

#[test]
fn dead_agent() {
    let mut steps = Steps::new();
    steps.tick(1, 1);
    let actions: Vec<_> = (0..40).map(|_| steps.tick(1, 0)).collect();
    let rotations = actions
        .iter()
        .filter(|it| matches!(it, PathAction::Rotate { .. }))
        .count();
    assert_eq!(rotations, 3, "a dead agent doesn't draw sockets for ever");
}
