//! A daemon's side of a configuration transfer.

use super::Configuration;
use super::configuration::set_customers;
use super::routing::changed;
use crate::finding::Findings;
use crate::lists::{Customers, parse_plans};
use crate::routes::RouteTable;
use wire::{ConfigDelta, ConfigVersion, CustomerPlan, Term};

/// What became of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageOutcome {
    /// Its version is in force now.
    Applied,
    /// Further pages are needed.
    Incomplete,
    /// It does not belong here.
    Ignored,
}

#[derive(Clone, Debug)]
struct Partial {
    term: Term,
    from: ConfigVersion,
    to: ConfigVersion,
    next: u64,
    /// Customers set or removed, for a delta.
    changed: Vec<CustomerPlan>,
    /// The list so far, for the whole: built page by page, so that no page
    /// takes long.
    whole: Customers,
}

/// Collects pages and applies them once the last one is in.
#[derive(Clone, Debug, Default)]
pub struct TransferReceiver {
    partial: Option<Partial>,
}

impl TransferReceiver {
    /// Returns the number of the page that is wanted next, or 0 when no
    /// transfer is under way.
    #[must_use]
    pub fn next_page(&self) -> u64 {
        self.partial.as_ref().map_or(0, |p| p.next)
    }

    /// Takes a page from the leader of a term.
    ///
    /// # Errors
    ///
    /// Returns why the plan list can't be read; the configuration then stays.
    pub fn receive_page(
        &mut self,
        config: &mut Configuration,
        term: Term,
        delta: ConfigDelta,
    ) -> Result<PageOutcome, Findings> {
        let applies = delta.from == 0 || delta.from == config.version;
        if delta.to <= config.version || !applies {
            return Ok(PageOutcome::Ignored);
        }
        let Some(mut partial) = self.continued(term, &delta) else {
            return Ok(PageOutcome::Ignored);
        };
        if delta.from == 0 {
            set_customers(&mut partial.whole, &delta.customers);
        } else {
            partial.changed.extend_from_slice(&delta.customers);
        }
        if !delta.last {
            partial.next += 1;
            self.partial = Some(partial);
            return Ok(PageOutcome::Incomplete);
        }
        apply(config, partial, &delta)?;
        Ok(PageOutcome::Applied)
    }

    /// Returns the transfer that the page continues or starts; drops one
    /// that it doesn't fit.
    fn continued(&mut self, term: Term, delta: &ConfigDelta) -> Option<Partial> {
        let partial = self.partial.take();
        if delta.page <= 1 {
            return Some(Partial {
                term,
                from: delta.from,
                to: delta.to,
                next: 1,
                changed: Vec::new(),
                whole: Customers::new(),
            });
        }
        let wanted = (term, delta.from, delta.to, delta.page);
        partial.filter(|p| (p.term, p.from, p.to, p.next) == wanted)
    }
}

fn apply(config: &mut Configuration, partial: Partial, last: &ConfigDelta) -> Result<(), Findings> {
    let plans = last.plans.as_deref();
    let parsed = plans.map(|text| parse_plans("plans", text)).transpose()?;
    if last.from == 0 {
        config.customers = partial.whole;
    } else {
        set_customers(&mut config.customers, &partial.changed);
    }
    config.set_plans(plans, parsed);
    config.out_data_centres = last.out_data_centres.iter().map(Into::into).collect();
    config.out_upstreams = last.out_upstreams.iter().map(Into::into).collect();
    if let Some(routing) = &last.routing {
        config.routing = RouteTable::new(routing.clone());
    }
    if let Some(change) = &last.routing_change {
        config.routing = RouteTable::new(changed(config.routing.content(), change));
    }
    config.version = last.to;
    Ok(())
}
