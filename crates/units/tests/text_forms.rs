//! Values round-trip through their text format, and invalid texts are rejected with a remedy.

use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, InstanceId, Millis, ParseUnitError, Slots,
    Zone,
};

fn check_round_trip<T: FromStr<Err = ParseUnitError> + Display + PartialEq + Debug>(
    value: &T,
    text: &str,
) {
    assert_eq!(value.to_string(), text);
    assert_eq!(text.parse::<T>().as_ref(), Ok(value));
}

fn check_rejected<T: FromStr<Err = ParseUnitError> + Debug>(text: &str, expect: &str) {
    let err = text.parse::<T>().unwrap_err().to_string();
    assert!(err.contains(expect), "`{err}` lacks `{expect}`");
}

#[test]
fn values_round_trip_through_text() {
    check_round_trip(&EndpointId::new(7), "7");
    check_round_trip(&BundleVersion::new(u64::MAX), "18446744073709551615");
    check_round_trip(&Millis::new(250), "250 ms");
    check_round_trip(&ByteSize::new(1_024), "1024 B");
    check_round_trip(&Slots::new(5), "5 slots");
    check_round_trip(&BundleDigest::new([0xab; 32]), &"ab".repeat(32));
    assert_eq!(format!("{:>4}", EndpointId::new(7)), "   7");
}

#[test]
fn invalid_numbers_are_rejected() {
    check_rejected::<EndpointId>("", "endpoint id is empty; give a value");
    check_rejected::<EndpointId>("-1", "endpoint id `-1` is not a number in range");
    check_rejected::<Slots>("70000", "slots `70000` is not a number in range");
    check_rejected::<Millis>("5 s", "duration `5 s` is not a number in range");
}

#[test]
fn invalid_names_and_digests_are_rejected() {
    check_rejected::<InstanceId>("", "instance id is empty");
    check_rejected::<InstanceId>("a b", "instance id `a b` is not valid; use 1 to 64 letters");
    check_rejected::<Zone>(&"z".repeat(65), "use 1 to 64 letters");
    check_rejected::<BundleDigest>("abc", "use 64 hexadecimal digits");
    check_rejected::<BundleDigest>(&"é".repeat(32), "use 64 hexadecimal digits");
}

#[test]
fn time_arithmetic_saturates() {
    let now = Millis::new(5);
    assert_eq!(
        now.since(Millis::new(9)),
        Millis::new(0),
        "a time before the reference saturates at zero"
    );
    assert_eq!(Millis::new(u64::MAX).plus(now), Millis::new(u64::MAX));
}
