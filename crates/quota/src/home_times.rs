//! Since when a daemon is the home of a customer.

use crate::rendezvous::home_of;
use std::collections::VecDeque;
use std::time::Duration;
use wire::QuotaHome;

/// Number of lists of homes that are remembered.
const MAX_LISTS: usize = 16;

/// Time since when a daemon is the home if no daemon was a home before it.
pub const NO_PREDECESSOR: Duration = Duration::ZERO;

/// A list of homes, and when it was received.
#[derive(Debug)]
struct HomeList {
    at: Duration,
    homes: Vec<QuotaHome>,
    /// Whether no daemon was a home under a limit before this list.
    initial: bool,
}

/// The lists of homes that control sent, newest last.
#[derive(Debug)]
pub struct HomeTimes {
    lists: VecDeque<HomeList>,
    /// Whether lists were forgotten.
    has_forgotten: bool,
    lease: Duration,
}

impl HomeTimes {
    /// Creates an empty history. `lease` is the time within which control must have
    /// confirmed a home.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lists: VecDeque::new(),
            has_forgotten: false,
            lease,
        }
    }

    /// Records the current list. A daemon that is not confirmed forgets all lists: it may
    /// have missed that another daemon was home in between.
    pub fn update(&mut self, now: Duration, homes: &[QuotaHome], confirmed: bool) {
        if !confirmed {
            self.has_forgotten |= !self.lists.is_empty();
            self.lists.clear();
            return;
        }
        if self.lists.back().is_some_and(|list| list.homes == homes) {
            return;
        }
        self.lists.push_back(HomeList {
            at: now,
            homes: homes.to_vec(),
            initial: false,
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Records that no daemon was a home under a limit before the current list. A daemon
    /// that has forgotten lists may have been one itself.
    pub fn mark_initial(&mut self) {
        if let Some(list) = self.lists.back_mut().filter(|_| !self.has_forgotten) {
            list.initial = true;
        }
    }

    /// Returns the time from which a daemon may grant the tokens that arrive for a
    /// customer, or `None` if it is not the home. A former home that is still listed, or
    /// that is not known, may grant until its lease ends. The time is [`NO_PREDECESSOR`] if
    /// there was no former home.
    #[must_use]
    pub fn home_since(&self, customer: &str, daemon: &str) -> Option<Duration> {
        let is_home = |list: &&HomeList| {
            home_of(customer, &list.homes).is_some_and(|home| home.daemon == daemon)
        };
        let newest = self.lists.iter().rev();
        let first = newest.take_while(is_home).last()?;
        if first.initial {
            return Some(NO_PREDECESSOR);
        }
        let before = self.lists.iter().rfind(|list| list.at < first.at);
        let former = before.and_then(|list| home_of(customer, &list.homes));
        let gone = former
            .is_some_and(|former| !first.homes.iter().any(|home| home.daemon == former.daemon));
        Some(if gone {
            first.at
        } else {
            first.at + self.lease
        })
    }
}
