//! Turns on the host's own link, without a network.

use std::time::{Duration, Instant};

use wire::{PART_BYTES, Passage, Turn, Uplink};

/// Speed of the link in Mbit/s.
const SPEED: f64 = 12.0;
const LONG_BYTES: usize = 90_000;
const SHORT_BYTES: usize = 400;

/// A link that sends what it is given in this order.
struct Wire {
    idle_at: Instant,
}

impl Wire {
    /// When the last of these bytes has left.
    fn send(&mut self, now: Instant, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (SPEED * 1e6));
        self.idle_at = self.idle_at.max(now) + time;
        self.idle_at
    }
}

/// What a second of mixed answers was like.
struct Played {
    /// Longest time from the writing of a short answer until it has left.
    longest_short: Duration,
    long_bytes: usize,
}

/// Plays a second in which `writers` long answers are always under way, and a short
/// one is written every 10 ms.
fn play(uplink: &Uplink, writers: usize) -> Played {
    let start = Instant::now();
    let mut wire = Wire { idle_at: start };
    let mut played = Played { longest_short: Duration::ZERO, long_bytes: 0 };
    let mut long: Vec<(Passage, Instant)> =
        (0..writers).map(|_| (uplink.plan(start, LONG_BYTES), start)).collect();
    for millis in 0..1000 {
        let now = start + Duration::from_millis(millis);
        for (passage, ready_at) in &mut long {
            while *ready_at <= now {
                match passage.take(now) {
                    Turn::Wait(time) => *ready_at = now + time,
                    Turn::Write(part) => {
                        wire.send(now, part);
                        played.long_bytes += part;
                    }
                }
                if passage.left() == 0 {
                    // The next long answer is ready 20 ms later.
                    *ready_at = now + Duration::from_millis(20);
                    *passage = uplink.plan(*ready_at, LONG_BYTES);
                }
            }
        }
        if millis % 10 == 0 {
            assert_eq!(uplink.plan(now, SHORT_BYTES).take(now), Turn::Write(SHORT_BYTES));
            let gone = wire.send(now, SHORT_BYTES);
            played.longest_short = played.longest_short.max(gone - now);
        }
    }
    played
}

/// Pattern: a host with a link of 12 Mbit/s answers lookups of 400 bytes, whose callers
/// hold a slot meanwhile, and downloads of 90 kB, each of which fills the link for 60 ms.
#[test]
fn short_answers_do_not_wait_behind_long_ones() {
    let all_at_once = play(&Uplink::default(), 1);
    assert!(all_at_once.longest_short.as_millis() >= 50, "{:?}", all_at_once.longest_short);
    for writers in [1, 4] {
        let Played { longest_short, long_bytes } = play(&Uplink::new(SPEED), writers);
        assert!(longest_short.as_millis() <= 20, "{longest_short:?} with {writers}");
        let share = long_bytes as f64 * 8.0 / (SPEED * 1e6);
        assert!(share >= 0.6, "{writers} long answers at a time got {share} of the link");
    }
}

/// Writes a message as fast as it may and gives the time until its last part.
fn write(uplink: &Uplink, start: Instant, bytes: usize) -> Duration {
    let mut passage = uplink.plan(start, bytes);
    let (mut now, mut written) = (start, 0);
    while passage.left() > 0 {
        match passage.take(now) {
            Turn::Write(part) => written += part,
            Turn::Wait(time) => {
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
        // The last part is written ahead of its turn.
        let took = write(&uplink, start, LONG_BYTES);
        assert!((each * number - each / 5..=each * number).contains(&took), "{number}: {took:?}");
    }
    let first = uplink.plan(start, PART_BYTES + 1).take(start);
    assert!(matches!(first, Turn::Wait(_)), "{first:?}");
}

#[test]
fn nothing_waits_on_a_link_of_unknown_or_high_speed() {
    let now = Instant::now();
    assert_eq!(Uplink::new(0.0).plan(now, LONG_BYTES).take(now), Turn::Write(LONG_BYTES));
    assert_eq!(write(&Uplink::new(1000.0), now, LONG_BYTES), Duration::ZERO);
}
