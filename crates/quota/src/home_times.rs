//! Since when a daemon is the home of a customer.

use crate::rendezvous::home_of;
use std::collections::VecDeque;
use std::time::Duration;
use wire::QuotaHome;

/// Number of lists of homes that are remembered.
const MAX_LISTS: usize = 16;

/// A list of homes, and when it was received.
#[derive(Debug)]
struct HomeList {
    at: Duration,
    homes: Vec<QuotaHome>,
}

/// The lists of homes that control sent, newest last.
#[derive(Debug)]
pub struct HomeTimes {
    lists: VecDeque<HomeList>,
    lease: Duration,
}

impl HomeTimes {
    /// Creates an empty history. `lease` is the time within which control must have
    /// confirmed a home.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            lists: VecDeque::new(),
            lease,
        }
    }

    /// Records the current list. A daemon that is not confirmed forgets all lists: it may
    /// have missed that another daemon was home in between.
    pub fn update(&mut self, now: Duration, homes: &[QuotaHome], confirmed: bool) {
        if !confirmed {
            self.lists.clear();
            return;
        }
        if self.lists.back().is_some_and(|list| list.homes == homes) {
            return;
        }
        self.lists.push_back(HomeList {
            at: now,
            homes: homes.to_vec(),
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the time from which a daemon may grant the tokens that arrive for a
    /// customer, or `None` if it is not the home. A former home that is still listed, or
    /// that is not known, may grant until its lease ends.
    #[must_use]
    pub fn home_since(&self, customer: &str, daemon: &str) -> Option<Duration> {
        let is_home = |list: &&HomeList| {
            home_of(customer, &list.homes).is_some_and(|home| home.daemon == daemon)
        };
        let newest = self.lists.iter().rev();
        let first = newest.take_while(is_home).last()?;
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
