//! Announcement of an upstream to the daemon beside it.

use serde::{Deserialize, Serialize};
use wire::Announcement;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// Service that the upstream serves.
    pub service: String,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Id of the upstream's process; differs after every restart.
    pub boot: String,
    /// Whether the upstream is about to stop and must get no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Version of its software, or empty if it states none.
    #[serde(default)]
    pub version: String,
}

impl From<AnnounceBody> for Announcement {
    fn from(body: AnnounceBody) -> Self {
        Self {
            service: body.service,
            slots: body.slots,
            boot: body.boot,
            leaving: body.leaving,
            version: body.version,
            ..Self::default()
        }
    }
}
