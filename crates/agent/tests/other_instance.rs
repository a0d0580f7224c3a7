//! The copies of a leaving agent's datagrams go through a balancer on another instance.

use agent::LiveBalancers;

fn check_copy_balancer(fallback: &[&str], first: &str, expect: Option<&str>) {
    let balancers = LiveBalancers::new(fallback.iter().map(|it| it.parse().unwrap()).collect());
    for turn in 0..6 {
        let second = balancers.next_on_other_instance(first.parse().unwrap());
        assert_eq!(second, expect.map(|it| it.parse().unwrap()), "turn {turn}");
    }
}

#[test]
fn copy_goes_through_other_instance() {
    let fallback = ["127.0.0.1:7000", "127.0.0.1:41000", "127.0.0.2:7000"];
    check_copy_balancer(&fallback, fallback[0], Some(fallback[2]));
    check_copy_balancer(&fallback, fallback[1], Some(fallback[2]));
}

#[test]
fn no_copy_goes_through_same_instance() {
    check_copy_balancer(
        &["127.0.0.1:7000", "127.0.0.1:41000"],
        "127.0.0.1:7000",
        None,
    );
    check_copy_balancer(&[], "127.0.0.1:7000", None);
}
