//! Rings drop the oldest events, merging sorts by stamp, and renderings list missing events.

use timeline::{
    Event, Note, ProcessEvents, Recorder, Stamp, Timeline, UnreachableProcess,
    render::{to_json, to_svg, to_text},
};
use units::{EndpointId, Incarnation, InstanceId, Millis};

fn instance_id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// Returns a test event that is told apart from others by its endpoint id.
fn endpoint_leaving_event(endpoint: u32) -> Event {
    Event::EndpointLeaving {
        endpoint: EndpointId::new(endpoint),
    }
}

/// Returns all events of a recorder as fetched from the named process.
fn fetch_all_events(name: &str, recorder: &Recorder) -> ProcessEvents {
    let (events, dropped) = recorder.events_since(Stamp::default());
    ProcessEvents {
        instance: instance_id(name),
        events,
        dropped,
        unreadable: 0,
    }
}

/// Returns a timeline of two processes, one with a dropped event, and an unreachable process.
fn sample_timeline() -> Timeline {
    let (a, b) = (Recorder::with_capacity(2), Recorder::new());
    a.record_at(endpoint_leaving_event(1), Millis::new(10));
    a.record_at(endpoint_leaving_event(2), Millis::new(20));
    a.record_at(endpoint_leaving_event(3), Millis::new(30));
    let incarnation = Incarnation::new(9);
    b.record_at(Event::ProcessStarted { incarnation }, Millis::new(25));
    let unreachable = UnreachableProcess {
        address: "127.0.0.1:9<".to_owned(),
        cause: "refused".to_owned(),
    };
    Timeline::new(
        vec![fetch_all_events("b-2", &b), fetch_all_events("a-1", &a)],
        vec![unreachable],
    )
}

#[test]
fn full_ring_drops_oldest_event() {
    let timeline = sample_timeline();
    assert_eq!(timeline.gaps.len(), 1);
    assert_eq!(timeline.gaps[0].dropped, 1);
    let times: Vec<_> = timeline
        .rows
        .iter()
        .map(|it| it.stamp.unix_ms.get())
        .collect();
    assert_eq!(times, [20, 25, 30]);
}

#[test]
fn text_lists_events_and_processes_with_missing_events() {
    let expect = "\
00:00:00.020+0    a-1  endpoint 2 leaving
00:00:00.025+0    b-2  started, incarnation 9
00:00:00.030+0    a-1  endpoint 3 leaving
incomplete: a-1: 1 older events dropped, 0 events of unknown kind
unreachable: 127.0.0.1:9<: refused
";
    assert_eq!(to_text(&sample_timeline()), expect);
}

#[test]
fn timeline_round_trips_through_json() {
    let timeline = sample_timeline();
    let parsed: Timeline = serde_json::from_str(&to_json(&timeline)).unwrap();
    assert_eq!(parsed, timeline);
    assert!(to_json(&timeline).contains(r#""event": "endpoint-leaving""#));
}

#[test]
fn svg_has_events_and_unreachable_lane() {
    let image = to_svg(&sample_timeline());
    assert_eq!(image.matches("<title>").count(), 3);
    assert!(image.contains("127.0.0.1:9&lt; (unreachable)"));
    assert!(image.trim_end().ends_with("</svg>"));
}

#[test]
fn long_note_is_truncated_at_char_boundary() {
    let check = |text: String, expect| assert_eq!(Note::new(text).as_str().len(), expect);
    check("short".to_owned(), 5);
    check("a".repeat(500), 160);
    check("é".repeat(500), 160);
    check(format!("x{}", "é".repeat(500)), 159);
}

#[test]
fn events_since_skips_earlier_events() {
    let recorder = Recorder::new();
    recorder.record_at(endpoint_leaving_event(1), Millis::new(10));
    recorder.record_at(endpoint_leaving_event(2), Millis::new(20));
    let (entries, dropped) = recorder.events_since(Stamp::new(Millis::new(11), 0));
    assert_eq!((entries.len(), dropped), (1, 0));
}
