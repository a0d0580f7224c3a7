//! A leaving agent's datagrams take a second way, through another instance.

use agent::LiveBalancers;

fn check(known: &[&str], first: &str, expect: Option<&str>) {
    let balancers = LiveBalancers::new(known.iter().map(|it| it.parse().unwrap()).collect());
    for turn in 0..6 {
        let second = balancers.next_on_other_instance(first.parse().unwrap());
        assert_eq!(second, expect.map(|it| it.parse().unwrap()), "turn {turn}");
    }
}

#[test]
fn other_instance() {
    let known = ["127.0.0.1:7000", "127.0.0.1:41000", "127.0.0.2:7000"];
    check(&known, known[0], Some(known[2]));
    check(&known, known[1], Some(known[2]));
}

#[test]
fn same_instance_only() {
    check(
        &["127.0.0.1:7000", "127.0.0.1:41000"],
        "127.0.0.1:7000",
        None,
    );
    check(&[], "127.0.0.1:7000", None);
}
