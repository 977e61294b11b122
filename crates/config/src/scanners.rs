//! Parsers for durations, percentages and names in a service file.

use std::time::Duration;

/// Parses a duration such as `250ms`, `3s` or `2m`.
pub(crate) fn scan_duration(text: &str) -> Option<Duration> {
    let digits = scan_digits(text)?;
    let (number, unit) = text.split_at(digits);
    let number: u32 = number.parse().ok()?;
    let unit = match unit {
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "m" => Duration::from_secs(60),
        _ => return None,
    };
    Some(unit * number)
}

/// Parses a percentage such as `3%` or `0.5%` into a fraction from 0 to 1.
pub(crate) fn scan_share(text: &str) -> Option<f64> {
    let number = text.strip_suffix('%')?;
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let percent: f64 = number.parse().ok()?;
    (0.0..=100.0).contains(&percent).then_some(percent / 100.0)
}

/// Whether `text` is a valid name of a service or a rule: at most 64 bytes of
/// lower-case letters, digits and hyphens, with no hyphen at either end.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=64).contains(&text.len())
        && text.bytes().all(allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

/// Whether `text` is an HTTP method in upper case, of at most 16 letters.
pub(crate) fn is_method(text: &str) -> bool {
    (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase())
}

/// Returns the number of leading digits, or `None` if there are none.
fn scan_digits(text: &str) -> Option<usize> {
    let length = text.bytes().take_while(u8::is_ascii_digit).count();
    (length > 0).then_some(length)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_need_a_unit() {
        assert_eq!(scan_duration("250ms"), Some(Duration::from_millis(250)));
        assert_eq!(scan_duration("2m"), Some(Duration::from_secs(120)));
        assert_eq!(scan_duration("250"), None);
        assert_eq!(scan_duration("ms"), None);
        assert_eq!(scan_duration("99999999999s"), None);
    }

    #[test]
    fn shares_are_percentages_up_to_100() {
        assert_eq!(scan_share("50%"), Some(0.5));
        assert_eq!(scan_share("101%"), None);
        assert_eq!(scan_share("-1%"), None);
        assert_eq!(scan_share("1e1%"), None);
    }
}
