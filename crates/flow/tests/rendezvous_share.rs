//! Rendezvous hashing distributes keys by weight and moves only the keys of a removed endpoint.

use flow::rendezvous::{FlowKey, TopScores, unit_weight_score};
use units::{EndpointId, Weight};

const KEYS: u32 = 20_000;

fn flow_key(number: u32) -> FlowKey {
    let caller = std::net::SocketAddr::from(([192, 0, 2, 1], 5_000));
    FlowKey::new(caller, &number.to_be_bytes())
}

fn top_two_positions(number: u32, weights: &[u16]) -> [Option<usize>; 2] {
    let mut top = TopScores::new();
    for (idx, &weight) in weights.iter().enumerate() {
        let endpoint = EndpointId::new(u32::try_from(idx).expect("there are few endpoints") + 1);
        top.offer_endpoint(
            idx,
            Weight::new(weight),
            unit_weight_score(flow_key(number), endpoint),
        );
    }
    top.winner_positions()
}

#[test]
fn key_shares_follow_endpoint_weights() {
    let weights = [100, 200, 0, 100];
    let mut counts = [0_u32; 4];
    for number in 0..KEYS {
        counts[top_two_positions(number, &weights)[0].expect("some weights are above zero")] += 1;
    }
    for (count, expect) in counts.into_iter().zip([5_000, 10_000, 0, 5_000]) {
        assert!(count.abs_diff(expect) <= 250, "{counts:?}");
    }
}

#[test]
fn removing_an_endpoint_moves_only_its_keys() {
    for number in 0..KEYS {
        let before = top_two_positions(number, &[100; 7]);
        let after = top_two_positions(number, &[100, 100, 100, 0, 100, 100, 100]);
        let expect = if before[0] == Some(3) {
            before[1]
        } else {
            before[0]
        };
        assert_eq!(after[0], expect);
    }
}

#[test]
fn zero_weight_endpoints_never_win() {
    assert_eq!(top_two_positions(1, &[]), [None, None]);
    assert_eq!(top_two_positions(1, &[0, 100]), [Some(1), None]);
}
