//! HTTP/1.1 parsing and serialisation without I/O.
//!
//! General HTTP libraries do not suit the load balancer in two respects: their
//! servers read the next request head only after the response to the previous
//! one, and their clients hide bytes that arrive after a response. Here,
//! pipelined requests run concurrently, and surplus bytes have to be detected
//! so that they never reach a caller as part of another response.

mod body;
mod head;
mod write;

pub use body::{BodyError, BodyReader, ConnectionEnd, Piece};
pub use head::{
    Framing, HeadError, RequestHead, ResponseHead, is_valid_status, parse_request, parse_response,
};
pub use write::{is_bodyless, write_chunk, write_last_chunk, write_request, write_response};
