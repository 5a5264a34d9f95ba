//! Selection of the quota homes, the daemons that keep the customers' token
//! buckets.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{DaemonId, DataCentreId, QuotaHome};
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of quota homes.
pub const MAX_HOMES: usize = 32;

/// Returns a checksum of the quota homes, 0 if there are none. A daemon sends it
/// in its heartbeats, so that it receives the list only when it has changed.
#[must_use]
pub fn homes_hash(homes: &[QuotaHome]) -> u64 {
    if homes.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for home in homes {
        for part in [&home.daemon, &home.address] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
    }
    hasher.digest().max(1)
}

/// A daemon that can become a quota home.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) daemon: DaemonId,
    pub(crate) address: String,
    pub(crate) data_centre: DataCentreId,
    pub(crate) started: Duration,
    /// Whether it becomes a home before others, which become homes only while no preferred
    /// daemon is a candidate. A home stays one.
    pub(crate) preferred: bool,
}

/// The list of quota homes. A daemon stays a home as long as it is a candidate, since a
/// change moves customers' buckets to other daemons.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homes {
    members: Vec<DaemonId>,
    list: Vec<QuotaHome>,
    hash: u64,
}

impl Homes {
    /// Removes homes that are no longer candidates, and fills the list with the
    /// daemons that have been up longest, each from the data centre that has the
    /// fewest homes.
    pub(crate) fn update(&mut self, candidates: &[Candidate]) {
        let by_name: BTreeMap<&DaemonId, &Candidate> =
            candidates.iter().map(|c| (&c.daemon, c)).collect();
        self.members.retain(|m| by_name.contains_key(m));
        let mut spares = Spares::new(candidates, &self.members);
        while self.members.len() < MAX_HOMES {
            let Some(next) = spares.pop() else {
                break;
            };
            self.members.push(next);
        }
        let homes = self.members.iter().filter_map(|m| by_name.get(m));
        self.list = homes
            .map(|c| QuotaHome {
                daemon: c.daemon.to_string(),
                address: c.address.clone(),
            })
            .collect();
        self.list.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        self.hash = homes_hash(&self.list);
    }

    /// Returns the checksum of the list, 0 if it is empty.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the daemons that are homes.
    pub(crate) fn members(&self) -> impl Iterator<Item = &DaemonId> {
        self.members.iter()
    }

    /// Returns the list unless its checksum is `known_hash`.
    pub(crate) fn if_changed(&self, known_hash: u64) -> Vec<QuotaHome> {
        if known_hash == self.hash {
            return Vec::new();
        }
        self.list.clone()
    }
}

/// Daemons that are not homes, by data centre, the one that started last first.
/// Each data centre comes with its number of homes.
struct Spares<'a> {
    data_centres: BTreeMap<&'a DataCentreId, (usize, Vec<&'a Candidate>)>,
}

impl<'a> Spares<'a> {
    fn new(candidates: &'a [Candidate], members: &[DaemonId]) -> Self {
        let any_preferred = candidates.iter().any(|c| c.preferred);
        let mut data_centres: BTreeMap<_, (usize, Vec<_>)> = BTreeMap::new();
        for candidate in candidates {
            let (homes, spares) = data_centres.entry(&candidate.data_centre).or_default();
            if members.contains(&candidate.daemon) {
                *homes += 1;
            } else if candidate.preferred || !any_preferred {
                spares.push(candidate);
            }
        }
        for (_, spares) in data_centres.values_mut() {
            spares.sort_by(|a, b| (b.started, &b.daemon).cmp(&(a.started, &a.daemon)));
        }
        Self { data_centres }
    }

    fn pop(&mut self) -> Option<DaemonId> {
        let (homes, spares) = self
            .data_centres
            .values_mut()
            .filter(|(_, spares)| !spares.is_empty())
            .min_by_key(|(homes, _)| *homes)?;
        *homes += 1;
        spares.pop().map(|c| c.daemon.clone())
    }
}
