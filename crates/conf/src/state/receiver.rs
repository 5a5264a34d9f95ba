//! Receiving side of a configuration transfer, at a daemon.

use super::Configuration;
use super::configuration::{apply_customer_changes, rollouts_by_service};
use super::routing::apply_change;
use crate::finding::Findings;
use crate::lists::{Customers, parse_plans};
use crate::routes::RouteTable;
use wire::{ConfigDelta, ConfigVersion, CustomerPlan, Term};

/// Result of receiving a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageOutcome {
    /// It was the last page; the new version is in force.
    Applied,
    /// It was stored; further pages are needed.
    Incomplete,
    /// It is outdated or does not continue the current transfer.
    Ignored,
}

#[derive(Clone, Debug)]
struct PartialTransfer {
    term: Term,
    from: ConfigVersion,
    to: ConfigVersion,
    next_page: u64,
    /// Changed customers, if this is a delta.
    changes: Vec<CustomerPlan>,
    /// The list so far, if this is a full transfer. It is built page by page, so
    /// that no page takes long to process.
    full_list: Customers,
}

/// Collects the pages of a transfer and applies them when the last one arrives.
#[derive(Clone, Debug, Default)]
pub struct TransferReceiver {
    partial: Option<PartialTransfer>,
}

impl TransferReceiver {
    /// Returns the number of the next page to request, or 0 if no transfer is in
    /// progress.
    #[must_use]
    pub fn next_page(&self) -> u64 {
        self.partial.as_ref().map_or(0, |p| p.next_page)
    }

    /// Processes a page from the leader of a term.
    ///
    /// # Errors
    ///
    /// Returns the findings if the plan list is invalid; the configuration is left
    /// unchanged.
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
        let Some(mut partial) = self.take_matching(term, &delta) else {
            return Ok(PageOutcome::Ignored);
        };
        if delta.from == 0 {
            apply_customer_changes(&mut partial.full_list, &delta.customers);
        } else {
            partial.changes.extend_from_slice(&delta.customers);
        }
        if !delta.last {
            partial.next_page += 1;
            self.partial = Some(partial);
            return Ok(PageOutcome::Incomplete);
        }
        apply(config, partial, &delta)?;
        Ok(PageOutcome::Applied)
    }

    /// Returns the transfer that the page starts or continues. Discards a transfer
    /// that the page does not match.
    fn take_matching(&mut self, term: Term, delta: &ConfigDelta) -> Option<PartialTransfer> {
        let partial = self.partial.take();
        if delta.page <= 1 {
            return Some(PartialTransfer {
                term,
                from: delta.from,
                to: delta.to,
                next_page: 1,
                changes: Vec::new(),
                full_list: Customers::new(),
            });
        }
        let expected = (term, delta.from, delta.to, delta.page);
        partial.filter(|p| (p.term, p.from, p.to, p.next_page) == expected)
    }
}

fn apply(
    config: &mut Configuration,
    partial: PartialTransfer,
    last: &ConfigDelta,
) -> Result<(), Findings> {
    let plans = last.plans.as_deref();
    let parsed = plans.map(|text| parse_plans("plans", text)).transpose()?;
    if last.from == 0 {
        config.customers = partial.full_list;
    } else {
        apply_customer_changes(&mut config.customers, &partial.changes);
    }
    config.set_plans(plans, parsed);
    config.out_data_centres = last.out_data_centres.iter().map(Into::into).collect();
    config.out_upstreams = last.out_upstreams.iter().map(Into::into).collect();
    config.rollouts = rollouts_by_service(&last.rollouts);
    if let Some(routing) = &last.routing {
        config.routing = RouteTable::new(routing.clone());
    }
    if let Some(change) = &last.routing_change {
        config.routing = RouteTable::new(apply_change(config.routing.content(), change));
    }
    config.version = last.to;
    Ok(())
}
