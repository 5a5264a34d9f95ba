//! Tells new orders of operators from delayed and repeated copies.

use super::batch::Waiter;
use super::{Control, log_lines, replies};
use crate::effect::Effect;
use wire::{OrderPosition, control_reply};

impl Control {
    /// Takes an order unless it states another base than the newest order that this leader
    /// has taken; replies with the newest position then, and returns false.
    ///
    /// The position counts orders when they are queued, so that no order slips in between
    /// this check and the log.
    pub(super) fn take_order(
        &mut self,
        waiter: Waiter,
        base: Option<OrderPosition>,
        tx: &mut Vec<Effect>,
    ) -> bool {
        let Some(leadership) = &mut self.leadership else {
            return false;
        };
        let newest = OrderPosition {
            term: leadership.term,
            number: leadership.orders,
        };
        if let Some(base) = base.filter(|base| *base != newest) {
            if base != OrderPosition::default() {
                tx.push(log_lines::order_outdated(base, newest));
            }
            let newest = control_reply::Kind::NewestOrder(newest);
            replies::reply(waiter, true, String::new(), Some(newest), tx);
            return false;
        }
        leadership.orders += 1;
        true
    }
}
