//! Orders rollouts and shows them.

use crate::args::{Args, RolloutAction};
use crate::client::Client;
use crate::failure::Failure;
use crate::output::Output;
use api::RolloutOrderBody;

/// Runs a command on rollouts and prints its result.
///
/// # Errors
///
/// Returns why an order was not accepted, or that no rollout was found.
pub(crate) async fn run(args: &Args, action: &RolloutAction, out: &Output) -> Result<(), Failure> {
    let mut client = Client::new(args)?;
    let rollout = match action {
        RolloutAction::Start(start) => {
            let order = RolloutOrderBody {
                service: start.service.clone(),
                version: start.version.clone(),
                within: start.within,
            };
            client.start_rollout(&order).await?
        }
        RolloutAction::Status(status) => client.rollout(&status.service).await?,
    };
    out.rollout(&rollout);
    Ok(())
}
