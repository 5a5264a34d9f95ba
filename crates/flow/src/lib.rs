//! Order, credit and liveness of the connections between daemons, for VMs whose
//! network link is slow compared with the bodies that they transfer.
//!
//! The sender puts small frames ahead of bodies. The receiver grants credit for no
//! more body bytes at once than its link carries in a short time, so that small
//! frames do not queue behind bodies in the network either.

mod intake;
mod liveness;
mod piece_queue;
mod send_queue;

pub use intake::{BodyId, Grant, Intake};
pub use liveness::{Check, Liveness};
pub use piece_queue::{MIN_PIECE_BYTES, PieceQueue};
pub use send_queue::SendQueue;

/// Maximum size of a piece of a body in one frame, in bytes. Small frames wait at
/// most for one piece.
pub const MAX_PIECE_BYTES: usize = 16 * 1024;
