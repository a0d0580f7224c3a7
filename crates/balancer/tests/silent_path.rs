//! A silent path is probed and then replaced; an idle path is not probed.

use balancer::{PathAction, PathMonitor};
use flow::table::Traffic;
use units::{EndpointId, Millis};

const AGENT: EndpointId = EndpointId::new(1);
const TICK_MS: u64 = 100;

/// Drives a path monitor in ticks of `TICK_MS` with the batch counts of one agent.
struct MonitorDriver {
    monitor: PathMonitor,
    now: Millis,
    traffic: Traffic,
}

impl MonitorDriver {
    fn new() -> Self {
        let traffic = Traffic {
            sent: 0,
            answered: 0,
        };
        Self {
            monitor: PathMonitor::default(),
            now: Millis::new(1_000),
            traffic,
        }
    }

    /// Advances the time by one tick in which `sent` and `answered` batches were counted.
    fn tick(&mut self, sent: u64, answered: u64) -> PathAction {
        self.now = self.now.plus(Millis::new(TICK_MS));
        self.traffic.sent += sent;
        self.traffic.answered += answered;
        self.monitor.observe_traffic(self.now, AGENT, self.traffic)
    }

    /// Ticks until the monitor returns an action other than `PathAction::None`.
    fn tick_until_action(&mut self, sent: u64) -> PathAction {
        for _ in 0..100 {
            let action = self.tick(sent, 0);
            if action != PathAction::None {
                return action;
            }
        }
        panic!("the monitor took no action within 10 s");
    }

    fn tick_until_socket_replaced(&mut self) -> u32 {
        loop {
            if let PathAction::ReplaceSocket { nonce, .. } = self.tick_until_action(1) {
                return nonce;
            }
        }
    }
}

#[test]
fn answered_path_is_not_probed() {
    let mut driver = MonitorDriver::new();
    for _ in 0..50 {
        assert_eq!(driver.tick(3, 1), PathAction::None);
    }
}

#[test]
fn idle_path_is_not_probed() {
    let mut driver = MonitorDriver::new();
    for _ in 0..50 {
        assert_eq!(driver.tick(0, 0), PathAction::None);
    }
    assert_eq!(
        driver.tick(1, 0),
        PathAction::None,
        "the first datagram may still be answered"
    );
}

#[test]
fn single_unanswered_datagram_starts_a_probe() {
    let mut driver = MonitorDriver::new();
    driver.tick(1, 1);
    driver.tick(1, 0);
    assert_eq!(
        (driver.tick(0, 0), driver.tick(0, 0)),
        (PathAction::None, PathAction::None)
    );
    assert_eq!(
        driver.tick(0, 0),
        PathAction::Echo { nonce: 1 },
        "one unanswered datagram must start a probe"
    );
}

#[test]
fn probes_started_per_step_are_limited() {
    let mut monitor = PathMonitor::default();
    let mut probes = 0;
    for at_ms in [1_000, 1_400] {
        for id in 0..100 {
            let traffic = Traffic {
                sent: at_ms,
                answered: 0,
            };
            let action = monitor.observe_traffic(Millis::new(at_ms), EndpointId::new(id), traffic);
            let traffic = Traffic {
                sent: at_ms + 1,
                answered: 0,
            };
            let next = monitor.observe_traffic(Millis::new(at_ms), EndpointId::new(id), traffic);
            probes += [action, next]
                .iter()
                .filter(|it| **it != PathAction::None)
                .count();
        }
    }
    assert_eq!(probes, 6, "the probes started in one step must be limited");
}

#[test]
fn path_that_answers_only_echoes_keeps_its_socket() {
    let mut driver = MonitorDriver::new();
    for _ in 0..50 {
        if let PathAction::Echo { nonce } = driver.tick(3, 0) {
            driver.monitor.handle_echo_reply(AGENT, nonce);
        }
    }
    let is_replaced = (0..50).any(|_| {
        let action = driver.tick(3, 0);
        if let PathAction::Echo { nonce } = action {
            driver.monitor.handle_echo_reply(AGENT, nonce);
        }
        matches!(action, PathAction::ReplaceSocket { .. })
    });
    assert!(
        !is_replaced,
        "the path answers echoes, although answers to callers use other balancers"
    );
}

#[test]
fn socket_of_silent_path_is_replaced_within_a_second() {
    let mut driver = MonitorDriver::new();
    driver.tick(1, 1);
    let silent_since = driver.now;
    let nonce = driver.tick_until_socket_replaced();
    assert!(
        driver.now.since(silent_since) <= Millis::new(1_000),
        "{}",
        driver.now
    );
    driver.monitor.handle_echo_reply(AGENT, nonce);
    assert_eq!(
        driver.tick(1, 1),
        PathAction::None,
        "the new path carries answers"
    );
}

#[test]
fn late_echo_reply_on_old_path_is_ignored() {
    let mut driver = MonitorDriver::new();
    driver.tick(1, 1);
    let nonce = driver.tick_until_socket_replaced();
    driver.monitor.handle_echo_reply(AGENT, nonce - 1);
    // Three echo requests are sent between two socket replacements.
    assert_eq!(
        driver.tick_until_socket_replaced(),
        nonce + 4,
        "a reply on the old path must not stop the next socket replacement"
    );
}

#[test]
fn consecutive_socket_replacements_are_limited() {
    let mut driver = MonitorDriver::new();
    driver.tick(1, 1);
    let actions: Vec<_> = (0..40).map(|_| driver.tick(1, 0)).collect();
    let replacements = actions
        .iter()
        .filter(|it| matches!(it, PathAction::ReplaceSocket { .. }))
        .count();
    assert_eq!(
        replacements, 3,
        "a dead agent must not cause unlimited socket replacements"
    );
}
