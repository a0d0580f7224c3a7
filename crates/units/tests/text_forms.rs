//! Every value reads back from the text it is shown as, and bad text is refused with a remedy.

use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

use units::{
    BundleDigest, BundleVersion, ByteSize, EndpointId, InstanceId, Millis, ParseUnitError, Slots,
    Zone,
};

fn round_trip<T: FromStr<Err = ParseUnitError> + Display + PartialEq + Debug>(
    value: &T,
    text: &str,
) {
    assert_eq!(value.to_string(), text);
    assert_eq!(text.parse::<T>().as_ref(), Ok(value));
}

fn refused<T: FromStr<Err = ParseUnitError> + Debug>(text: &str, expect: &str) {
    let err = text.parse::<T>().unwrap_err().to_string();
    assert!(err.contains(expect), "`{err}` lacks `{expect}`");
}

#[test]
fn shown_forms() {
    round_trip(&EndpointId::new(7), "7");
    round_trip(&BundleVersion::new(u64::MAX), "18446744073709551615");
    round_trip(&Millis::new(250), "250 ms");
    round_trip(&ByteSize::new(1_024), "1024 B");
    round_trip(&Slots::new(5), "5 slots");
    round_trip(&BundleDigest::new([0xab; 32]), &"ab".repeat(32));
    assert_eq!(format!("{:>4}", EndpointId::new(7)), "   7");
}

#[test]
fn bad_numbers() {
    refused::<EndpointId>("", "endpoint id is empty; give a value");
    refused::<EndpointId>("-1", "endpoint id `-1` is not a number in range");
    refused::<Slots>("70000", "slots `70000` is not a number in range");
    refused::<Millis>("5 s", "duration `5 s` is not a number in range");
}

#[test]
fn bad_names() {
    refused::<InstanceId>("", "instance id is empty");
    refused::<InstanceId>("a b", "instance id `a b` is not valid; use 1 to 64 letters");
    refused::<Zone>(&"z".repeat(65), "use 1 to 64 letters");
    refused::<BundleDigest>("abc", "use 64 hexadecimal digits");
    refused::<BundleDigest>(&"é".repeat(32), "use 64 hexadecimal digits");
}

#[test]
fn saturating_time() {
    let now = Millis::new(5);
    assert_eq!(
        now.since(Millis::new(9)),
        Millis::new(0),
        "the past is never ahead"
    );
    assert_eq!(Millis::new(u64::MAX).plus(now), Millis::new(u64::MAX));
}
