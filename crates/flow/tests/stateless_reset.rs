//! Only a later incarnation of the same endpoint resets the flows of an earlier incarnation.

#[path = "fixtures/datagrams.rs"]
mod datagrams;

use flow::{
    cid::CID_BYTES,
    reset::{
        DatagramOwner, RESET_BYTES, RESET_MIN_BYTES, datagram_owner, encode_reset, reset_token,
    },
};
use units::{EndpointId, Incarnation};

use self::datagrams::{established, initial, keys};

#[test]
fn connection_id_determines_the_owner_of_a_datagram() {
    let check = |datagram: &[u8], expect| {
        let own = (EndpointId::new(1), Incarnation::new(77));
        assert_eq!(datagram_owner(&keys(1), own.0, own.1, datagram), expect);
    };
    let earlier = established(1, 1, 76);
    let cid = *earlier[1..]
        .first_chunk::<CID_BYTES>()
        .expect("long enough");
    check(&established(1, 1, 77), DatagramOwner::CurrentIncarnation);
    check(&earlier, DatagramOwner::EarlierIncarnation(cid));
    check(&established(1, 1, 78), DatagramOwner::Foreign);
    check(&established(1, 2, 77), DatagramOwner::Foreign);
    check(&established(1, 2, 76), DatagramOwner::Foreign);
    check(&established(2, 1, 76), DatagramOwner::Unknown);
    check(&initial(1), DatagramOwner::Unknown);
    check(&[], DatagramOwner::Unknown);
}

#[test]
fn reset_is_shorter_than_the_datagram_and_ends_with_the_token() {
    let datagram = established(1, 1, 76);
    let cid = datagram[1..]
        .first_chunk::<CID_BYTES>()
        .expect("long enough");
    let token = reset_token(&keys(1), cid).expect("the key is known");
    let mut out = [0; RESET_BYTES];
    for received_len in RESET_MIN_BYTES + 1..100 {
        let len = encode_reset(&keys(1), cid, received_len, [0xff; 27], &mut out);
        let len = len.expect("long enough");
        assert!(len < received_len && len >= RESET_MIN_BYTES);
        assert_eq!(out[0] & 0xc0, 0x40);
        assert_eq!(out[len - 16..len], token);
    }
    for received_len in 0..=RESET_MIN_BYTES {
        let res = encode_reset(&keys(1), cid, received_len, [0; 27], &mut out);
        assert_eq!(res, None);
    }
    assert_ne!(reset_token(&keys(2), cid), Some(token));
}
