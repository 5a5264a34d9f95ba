//! Order of the starts of an upstream.
//!
//! Upstreams number their starts by the time of day, which may be set back, so that a later
//! start has a lower number. The ages that announcements state tell the two apart: they are
//! subtracted from the time since the boot of the VM, which is never set back. And a start that
//! another one of the same upstream has followed here does not return, whatever its number.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::Duration;
use wire::Announcement;

/// Time without an announcement after which a start with a lower number counts, and another
/// upstream may take the address, where nothing else tells which is the later one.
pub(super) const HOLDER_SILENCE: Duration = Duration::from_secs(5);
/// Time for which an upstream that has deregistered is not taken back where neither numbers
/// nor ages tell its starts apart: longer than an announcement is delayed.
pub(super) const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of starts remembered that later ones have followed.
const MAX_SUPERSEDED: usize = 64;

/// Starts that later ones of the same upstream have followed, by their boot ids.
#[derive(Debug, Default)]
pub(super) struct SupersededStarts {
    boots: VecDeque<String>,
}

impl SupersededStarts {
    /// Records that the start of `known` is followed by that of `announcement`.
    pub(super) fn record(&mut self, known: &Announcement, announcement: &Announcement) {
        if known.boot == announcement.boot || known.incarnation == 0 {
            return;
        }
        self.boots.push_back(known.boot.clone());
        if self.boots.len() > MAX_SUPERSEDED {
            self.boots.pop_front();
        }
    }

    /// Returns whether this is the boot id of such a start.
    pub(super) fn contains(&self, boot: &str) -> bool {
        self.boots.iter().any(|known| known == boot)
    }
}

/// The latest announcement of an upstream.
#[derive(Clone, Copy)]
pub(super) struct Known<'a> {
    pub(super) announcement: &'a Announcement,
    /// When it arrived.
    pub(super) at: Duration,
    /// When the upstream started, if it states its age.
    pub(super) started: Option<Duration>,
}

/// Returns when the upstream started, by the age that an announcement states on its arrival.
pub(super) fn started_at(now: Duration, announcement: &Announcement) -> Option<Duration> {
    let age = announcement.age_ms.map(Duration::from_millis)?;
    Some(now.saturating_sub(age))
}

/// Returns whether an announcement is older than another one of its upstream: from an
/// earlier start, or overtaken in transit. After a deregistration each other announcement
/// of the same start is.
pub(super) fn is_older(now: Duration, known: Known<'_>, announcement: &Announcement) -> bool {
    let latest = known.announcement;
    if latest.deregistered && is_deregistered_start(now, known, announcement) {
        return !announcement.deregistered;
    }
    // Deregistrations may have no number of their own.
    let deregisters = announcement.deregistered && announcement.boot == latest.boot;
    if latest.incarnation == 0 || deregisters {
        return false;
    }
    match announcement.incarnation.cmp(&latest.incarnation) {
        Ordering::Greater => false,
        Ordering::Equal => announcement.sequence <= latest.sequence,
        Ordering::Less => is_earlier_start(now, known, announcement),
    }
}

/// Returns whether a start with a lower number than the known one is the earlier one, and not
/// a later one after the time of day was set back. A silent upstream shows neither: one that
/// leaves announces itself no more.
pub(super) fn is_earlier_start(
    now: Duration,
    known: Known<'_>,
    announcement: &Announcement,
) -> bool {
    if let (Some(started), Some(known)) = (started_at(now, announcement), known.started) {
        return started <= known;
    }
    let limit = match known.announcement.leaving {
        true => MAX_ANNOUNCEMENT_DELAY,
        false => HOLDER_SILENCE,
    };
    now.saturating_sub(known.at) < limit
}

/// Returns whether an announcement is of the start that has deregistered. Where one of
/// the two does not number its start, they are of one if the upstream is not known to have
/// started since.
fn is_deregistered_start(now: Duration, known: Known<'_>, announcement: &Announcement) -> bool {
    if known.announcement.incarnation > 0 && announcement.incarnation > 0 {
        return known.announcement.boot == announcement.boot;
    }
    let since = now.saturating_sub(known.at);
    let age = announcement.age_ms.map(Duration::from_millis);
    since < MAX_ANNOUNCEMENT_DELAY && age.is_none_or(|age| age >= since)
}
