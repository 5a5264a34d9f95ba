//! Requests as an entry receives them.

#![allow(dead_code, unreachable_pub)]

use node::entry;
use std::time::Duration;

/// Returns a repeatable request without a body, a deadline, a service or a customer.
pub fn request(id: u64) -> entry::Request {
    entry::Request {
        id,
        customer: "".into(),
        credential: Default::default(),
        service: "".into(),
        class: None,
        safe_method: true,
        fingerprint: id,
        key: None,
        deadline: None,
        retry_budget: None,
        depth: 1,
        body_buffered: true,
        received_at: Duration::ZERO,
        route_key: None,
        body_bytes: 0,
    }
}

/// Returns such a request whose service follows from its route.
pub fn routed_request(id: u64, path: &str) -> entry::Request {
    let route_key = entry::RouteKey {
        host: "a.example".into(),
        path: path.into(),
    };
    entry::Request {
        route_key: Some(route_key),
        ..request(id)
    }
}
