//! Echoes round-trip through their encoding, and no other payload decodes as an echo.

use flow::echo::{ECHO_BYTES, Echo};
use units::EndpointId;

fn check_round_trip(echo: Echo) {
    assert_eq!(Echo::decode(&echo.encode()), Some(echo));
}

#[test]
fn request_and_reply_round_trip() {
    let request = Echo::new_request(EndpointId::new(5_800), 7);
    check_round_trip(request);
    check_round_trip(request.to_reply());
    assert_ne!(request, request.to_reply());
}

#[test]
fn truncated_or_corrupt_payload_is_no_echo() {
    let valid = Echo::new_request(EndpointId::new(1), 2).encode();
    assert_eq!(
        Echo::decode(&valid[..ECHO_BYTES - 1]),
        None,
        "truncated payload"
    );
    for idx in 0..8 {
        let mut corrupt = valid;
        corrupt[idx] ^= 0x80;
        assert_eq!(Echo::decode(&corrupt), None, "corrupt byte {idx}");
    }
}

#[test]
fn random_payload_that_decodes_encodes_to_itself() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(2_000)
        .for_each(|payload| {
            if let Some(echo) = Echo::decode(payload) {
                assert_eq!(echo.encode().as_slice(), payload.as_slice());
            }
        });
}
