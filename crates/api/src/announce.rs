//! What an upstream says of itself.

use serde::{Deserialize, Serialize};
use wire::Announcement;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// Service that it runs.
    pub service: String,
    /// Requests that it bears at once.
    pub slots: u32,
    /// Changes at every start of the upstream.
    pub boot: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl From<AnnounceBody> for Announcement {
    fn from(body: AnnounceBody) -> Self {
        Self {
            service: body.service,
            slots: body.slots,
            boot: body.boot,
            leaving: body.leaving,
            ..Self::default()
        }
    }
}
