//! Pacing of messages on the host's uplink, simulated without a network.

use std::time::{Duration, Instant};

use wire::{PART_BYTES, PacedMessage, SendDecision, Uplink};

/// Speed of the link in Mbit/s.
const SPEED: f64 = 12.0;
const LONG_BYTES: usize = 90_000;
const SHORT_BYTES: usize = 400;

/// A link that sends bytes in the order in which they are written.
struct SimulatedLink {
    idle_at: Instant,
}

impl SimulatedLink {
    /// Returns the time at which the last of these bytes has been sent.
    fn send(&mut self, now: Instant, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (SPEED * 1e6));
        self.idle_at = self.idle_at.max(now) + time;
        self.idle_at
    }
}

/// Result of a simulated second with short and long answers.
struct Simulation {
    /// Longest time from the writing of a short answer until it has been sent.
    longest_short: Duration,
    long_bytes: usize,
}

/// Simulates a second in which `concurrent_writers` writers send long answers with pauses of
/// 20 ms, and a short answer is written every 10 ms.
fn simulate(uplink: &Uplink, concurrent_writers: usize) -> Simulation {
    let start = Instant::now();
    let mut link = SimulatedLink { idle_at: start };
    let mut simulation = Simulation { longest_short: Duration::ZERO, long_bytes: 0 };
    let mut long: Vec<(PacedMessage, Instant)> =
        (0..concurrent_writers).map(|_| (uplink.plan(start, LONG_BYTES), start)).collect();
    for millis in 0..1000 {
        let now = start + Duration::from_millis(millis);
        for (message, ready_at) in &mut long {
            while *ready_at <= now {
                match message.decide(now) {
                    SendDecision::Wait(time) => *ready_at = now + time,
                    SendDecision::Write(part) => {
                        link.send(now, part);
                        simulation.long_bytes += part;
                    }
                }
                if message.left() == 0 {
                    // The next long answer is ready after 20 ms.
                    *ready_at = now + Duration::from_millis(20);
                    *message = uplink.plan(*ready_at, LONG_BYTES);
                }
            }
        }
        if millis % 10 == 0 {
            assert_eq!(uplink.plan(now, SHORT_BYTES).decide(now), SendDecision::Write(SHORT_BYTES));
            let sent_at = link.send(now, SHORT_BYTES);
            simulation.longest_short = simulation.longest_short.max(sent_at - now);
        }
    }
    simulation
}

/// Pattern: a host with a link of 12 Mbit/s sends lookups of 400 bytes, whose callers occupy
/// a slot until they have the answer, and downloads of 90 kB, each of which fills the link
/// for 60 ms.
#[test]
fn short_answers_do_not_wait_behind_long_ones() {
    let unpaced = simulate(&Uplink::default(), 1);
    assert!(unpaced.longest_short.as_millis() >= 50, "{:?}", unpaced.longest_short);
    for concurrent_writers in [1, 4] {
        let Simulation { longest_short, long_bytes } =
            simulate(&Uplink::new(SPEED), concurrent_writers);
        assert!(
            longest_short.as_millis() <= 20,
            "{longest_short:?} with {concurrent_writers} writers"
        );
        let share = long_bytes as f64 * 8.0 / (SPEED * 1e6);
        assert!(
            share >= 0.6,
            "{concurrent_writers} long answers at a time got {share} of the link"
        );
    }
}

/// Writes a message as fast as its schedule permits and returns the time until its last part
/// is written.
fn write_message(uplink: &Uplink, start: Instant, bytes: usize) -> Duration {
    let mut message = uplink.plan(start, bytes);
    let (mut now, mut written) = (start, 0);
    while message.left() > 0 {
        match message.decide(now) {
            SendDecision::Write(part) => written += part,
            SendDecision::Wait(time) => {
                assert!(!time.is_zero());
                now += time;
            }
        }
    }
    assert_eq!(written, bytes);
    now - start
}

#[test]
fn long_messages_are_written_whole_and_one_after_the_other() {
    let (uplink, start) = (Uplink::new(SPEED), Instant::now());
    let each = Duration::from_secs_f64(LONG_BYTES as f64 * 8.0 / (SPEED * 0.9 * 1e6));
    for number in 1..=3 {
        // The last part may be written before its scheduled time.
        let took = write_message(&uplink, start, LONG_BYTES);
        assert!((each * number - each / 5..=each * number).contains(&took), "{number}: {took:?}");
    }
    let first = uplink.plan(start, PART_BYTES + 1).decide(start);
    assert!(matches!(first, SendDecision::Wait(_)), "{first:?}");
}

#[test]
fn messages_are_not_delayed_on_a_link_of_unknown_or_high_speed() {
    let now = Instant::now();
    assert_eq!(Uplink::new(0.0).plan(now, LONG_BYTES).decide(now), SendDecision::Write(LONG_BYTES));
    assert_eq!(write_message(&Uplink::new(1000.0), now, LONG_BYTES), Duration::ZERO);
}
