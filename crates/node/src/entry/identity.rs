//! Identifies the customer of a request by its credential.

use super::message::{Request, Sender};
use super::refusal::{Reason, RefusalCause};
use super::request::ActiveRequest;
use crate::context::Cx;
use conf::RouteTable;
use wire::{CustomerRules, Route};

/// How a request was identified, where the configuration needs credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// Whether the request needs a credential, because its route is not open.
    pub(super) required: bool,
    /// Version of the routing by which the customer was identified.
    routing_version: u64,
}

/// Sets the customer of a request on a route. Returns the identity, with the customer's
/// priority if it has one, or `None` where the configuration needs no credentials.
pub(super) fn identify(
    request: &mut Request,
    table: &RouteTable,
    route: &Route,
    cx: &Cx<'_>,
) -> Result<Option<(Identity, Option<u32>)>, RefusalCause> {
    let content = table.content();
    if !content.needs_credentials {
        return Ok(None);
    }
    let required = !route.open;
    if required {
        check_lease(cx)?;
    }
    let holder = holder(request, table);
    if required && holder.is_none() {
        return Err(Reason::UnknownCredential.into());
    }
    request.customer = holder.map_or_else(Default::default, |c| c.name.as_str().into());
    let identity = Identity {
        required,
        routing_version: content.version,
    };
    Ok(Some((identity, holder.and_then(|c| c.priority))))
}

/// Checks immediately before a send that the credential of a request is still in force.
pub(super) fn check(active: &ActiveRequest, cx: &Cx<'_>) -> Result<(), RefusalCause> {
    let Some(identity) = active.identity.filter(|identity| identity.required) else {
        return Ok(());
    };
    check_lease(cx)?;
    let table = &cx.agent.config.routing;
    if table.content().version == identity.routing_version || !table.content().needs_credentials {
        return Ok(());
    }
    match holder(&active.request, table) {
        Some(customer) if customer.name == active.request.customer => Ok(()),
        _ => Err(Reason::UnknownCredential.into()),
    }
}

/// Returns what replaces the credential of a request, where the configuration needs
/// credentials or did when the request arrived.
pub(super) fn sender(active: &ActiveRequest, cx: &Cx<'_>) -> Option<Sender> {
    let needed = cx.agent.config.routing.content().needs_credentials;
    if active.identity.is_none() && !needed {
        return None;
    }
    let is_limited = active.identity.is_some_and(|identity| identity.required);
    Some(Sender {
        customer: active.request.customer.clone(),
        send_until: cx.agent.credential_lease_end().filter(|_| is_limited),
    })
}

fn check_lease(cx: &Cx<'_>) -> Result<(), RefusalCause> {
    match cx.agent.credentials_confirmed(cx.now) {
        true => Ok(()),
        false => Err(Reason::StaleCredentials.into()),
    }
}

fn holder<'a>(request: &Request, table: &'a RouteTable) -> Option<&'a CustomerRules> {
    table.holder(request.credential.key()?)
}
