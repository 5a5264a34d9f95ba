//! Heads and bodies of HTTP/1.1, without sockets.
//!
//! A server of a general library reads the next head only after the answer to
//! the one before, and a client of one hides bytes that come after an answer.
//! A balancer needs both: requests that come behind one another are to run
//! side by side, and bytes that belong to no request must not reach a caller.

mod body;
mod head;
mod write;

pub use body::{BodyError, BodyReader, Piece};
pub use head::{Framing, HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use write::{is_bodyless, write_chunk, write_last_chunk, write_request, write_response};
