//! Lines of several daemons whose clocks differ.

use cli::logs::{order, parse};

const ENTRY: &str = r#"{"time_ms":1000,"node":"e","id":"x","event":"arrived","service":"desk"}
{"time_ms":1001,"node":"e","id":"x","event":"sent","to":"g","pace":700,"report_age_ms":40}
{"time_ms":1090,"node":"e","id":"x","event":"answered","from":"g","status":200}
{"time_ms":1090,"node":"e","id":"x","event":"ended","status":200}"#;

fn lines_of(text: &str) -> Vec<cli::logs::Line> {
    text.lines().filter_map(parse).map(|(_, line)| line).collect()
}

fn guard(clock: i64) -> String {
    format!(
        "{{\"time_ms\":{},\"node\":\"g\",\"id\":\"x\",\"event\":\"admitted\"}}\n\
         {{\"time_ms\":{},\"node\":\"g\",\"id\":\"x\",\"event\":\"ran\",\"status\":200}}",
        1002 + clock,
        1088 + clock
    )
}

#[test]
fn lines_come_in_the_order_of_cause_and_effect_whatever_the_clocks_say() {
    for clock in [-4000, -50, 0, 50, 4000] {
        let lines = [lines_of(&guard(clock)), lines_of(ENTRY)].concat();
        let events: Vec<Box<str>> = order(lines).into_iter().map(|line| line.event).collect();
        let events: Vec<&str> = events.iter().map(|event| &**event).collect();
        let expected = ["arrived", "sent", "admitted", "ran", "answered", "ended"];
        assert_eq!(events, expected, "a clock that differs by {clock} ms");
    }
}

#[test]
fn a_collectors_prefix_is_passed_over_and_other_lines_are_none() {
    let (id, line) = parse(&format!("12.5 host-1 {}", ENTRY.lines().next().unwrap_or_default()))
        .expect("the object is whole");
    assert_eq!((&*id, &*line.event), ("x", "arrived"));
    assert_eq!(line.text(), "1000 e arrived service=desk");
    assert!(parse(r#"{"level":"info","text":"stopped"}"#).is_none());
    assert!(parse(r#"{"time_ms":1,"node":"#).is_none());
    assert!(parse("no object").is_none());
}
