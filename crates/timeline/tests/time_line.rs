//! Rings drop the oldest, merging keeps the order, renders name what is missing.

use timeline::{
    Event, Note, ProcessEvents, Recorder, Stamp, Timeline, UnreachableProcess,
    render::{json, svg, text},
};
use units::{EndpointId, Incarnation, InstanceId, Millis};

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn leaving(endpoint: u32) -> Event {
    Event::EndpointLeaving {
        endpoint: EndpointId::new(endpoint),
    }
}

fn collect(name: &str, recorder: &Recorder) -> ProcessEvents {
    let (events, dropped) = recorder.events_since(Stamp::default());
    ProcessEvents {
        instance: id(name),
        events,
        dropped,
        unreadable: 0,
    }
}

fn sample() -> Timeline {
    let (a, b) = (Recorder::with_capacity(2), Recorder::new());
    a.record_at(leaving(1), Millis::new(10));
    a.record_at(leaving(2), Millis::new(20));
    a.record_at(leaving(3), Millis::new(30));
    let incarnation = Incarnation::new(9);
    b.record_at(Event::ProcessStarted { incarnation }, Millis::new(25));
    let refused = UnreachableProcess {
        address: "127.0.0.1:9<".to_owned(),
        cause: "refused".to_owned(),
    };
    Timeline::new(vec![collect("b-2", &b), collect("a-1", &a)], vec![refused])
}

#[test]
fn oldest_dropped() {
    let timeline = sample();
    assert_eq!(timeline.gaps.len(), 1);
    assert_eq!(timeline.gaps[0].dropped, 1);
    let moments: Vec<_> = timeline
        .rows
        .iter()
        .map(|it| it.stamp.unix_ms.get())
        .collect();
    assert_eq!(moments, [20, 25, 30]);
}

#[test]
fn text_lines() {
    let expect = "\
00:00:00.020+0    a-1  endpoint 2 leaving
00:00:00.025+0    b-2  started, incarnation 9
00:00:00.030+0    a-1  endpoint 3 leaving
incomplete: a-1: 1 older events gave way, 0 events of unknown kind
unreachable: 127.0.0.1:9<: refused
";
    assert_eq!(text(&sample()), expect);
}

#[test]
fn json_round_trip() {
    let timeline = sample();
    let back: Timeline = serde_json::from_str(&json(&timeline)).unwrap();
    assert_eq!(back, timeline);
    assert!(json(&timeline).contains(r#""event": "endpoint-leaving""#));
}

#[test]
fn svg_lanes() {
    let picture = svg(&sample());
    assert_eq!(picture.matches("<title>").count(), 3);
    assert!(picture.contains("127.0.0.1:9&lt; (unreachable)"));
    assert!(picture.trim_end().ends_with("</svg>"));
}

#[test]
fn note_cut() {
    let check = |text: String, expect| assert_eq!(Note::new(text).as_str().len(), expect);
    check("short".to_owned(), 5);
    check("a".repeat(500), 160);
    check("é".repeat(500), 160);
    check(format!("x{}", "é".repeat(500)), 159);
}

#[test]
fn since_moment() {
    let recorder = Recorder::new();
    recorder.record_at(leaving(1), Millis::new(10));
    recorder.record_at(leaving(2), Millis::new(20));
    let (entries, dropped) = recorder.events_since(Stamp::new(Millis::new(11), 0));
    assert_eq!((entries.len(), dropped), (1, 0));
}
