//! Datagrams that no process of ours wrote.

mod support;

use support::{World, agent_ip, balancer_ip};

#[test]
fn any_bytes_are_decoded_or_refused() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|input| {
        // Whatever it says, it must not panic.
        let _decoded = passthrough::decode(input).is_ok();
    });
}

#[test]
fn foreign_datagrams_change_nothing() {
    bolero::check!()
        .with_iterations(200)
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(kind, input)| {
            let mut world = World::small();
            let revision = world.balancer(0).view().catalog().revision;
            // The preamble of a message, then anything.
            let mut bytes = vec![0x4C, 0x47, 2, kind % 12];
            bytes.extend(input);
            world.inject(agent_ip(0), balancer_ip(0), &bytes);
            world.inject(balancer_ip(9), agent_ip(0), &bytes);
            world.run(20);
            assert_eq!(world.balancer(0).view().catalog().revision, revision);
        });
}
