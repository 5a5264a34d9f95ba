//! Formats times for the terminal.

use std::time::Duration;

const DAY_S: u64 = 24 * 3600;
/// Days from 1 March of year 0 to 1 January 1970.
const EPOCH_DAYS: u64 = 719_468;
/// Days in 400 years, the period of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;

/// Formats a time since the Unix epoch in UTC, with a resolution of a second.
pub(crate) fn format_utc(at: Duration) -> String {
    let seconds = at.as_secs();
    let (year, month, day) = civil_date(seconds / DAY_S);
    let (hour, minute, second) = (seconds % DAY_S / 3_600, seconds % 3_600 / 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Converts days since the Unix epoch to year, month and day. Internally a year
/// starts in March, so that the leap day is its last day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day) = (days / ERA_DAYS, days % ERA_DAYS);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let next_year = u64::from(month >= 10);
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + next_year, month, day)
}
