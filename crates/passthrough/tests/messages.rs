//! Handling of datagrams that are not valid messages.

mod support;

use support::{SimNetwork, agent_ip, balancer_ip};

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|input| {
        // Decoding may succeed or fail, but must not panic.
        let _decoded = passthrough::decode_message(input).is_ok();
    });
}

#[test]
fn arbitrary_datagrams_do_not_change_the_catalog() {
    bolero::check!()
        .with_iterations(200)
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(kind, input)| {
            let mut network = SimNetwork::with_one_balancer();
            let revision = network.balancer(0).catalog_view().catalog().revision;
            // A valid preamble followed by arbitrary bytes.
            let mut bytes = vec![0x4C, 0x47, passthrough::LAYOUT_VERSION, kind % 16];
            bytes.extend(input);
            network.inject_datagram(agent_ip(0), balancer_ip(0), &bytes);
            network.inject_datagram(balancer_ip(9), agent_ip(0), &bytes);
            network.advance_ms(20);
            assert_eq!(
                network.balancer(0).catalog_view().catalog().revision,
                revision
            );
        });
}
