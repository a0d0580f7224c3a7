//! The balancer and agent program.
fn main() {}
