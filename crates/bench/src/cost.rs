//! Measurement of the processor time and memory of daemons, idle or under load.

use crate::fleet::Fleet;
use crate::load::{FlowResult, LoadOptions, finish, start};
use miette::{Result, miette};
use std::time::Duration;
use tokio::time::sleep;

/// Time from the start of the load generator to its first request.
const LOAD_START: Duration = Duration::from_millis(100);

/// Results of a load, and the resources that daemons used for it.
#[derive(Clone, Debug)]
pub struct LoadMeasurement {
    /// Results by flow; the last one is the total.
    pub flows: Vec<FlowResult>,
    /// Resources used by the measured daemons, in the order requested.
    pub daemons: Vec<Cost>,
}

/// Resources that a daemon used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time, in seconds per second.
    pub cores: f64,
    /// Resident memory at the end of the measurement, in bytes.
    pub memory: u64,
}

impl LoadMeasurement {
    /// Returns the results of the flow of a class.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no flow of the class.
    pub fn class(&self, class: &str) -> Result<&FlowResult> {
        let mut flows = self.flows.iter();
        let flow = flows.find(|f| f.name.split('/').nth(1) == Some(class));
        flow.ok_or_else(|| miette!("the load has no flow of class {class}"))
    }

    /// Returns the total of all flows.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no flows.
    pub fn all(&self) -> Result<&FlowResult> {
        self.flows
            .last()
            .ok_or_else(|| miette!("the load generator reported no flows"))
    }
}

/// Runs a load and measures daemons after its warm-up.
///
/// # Errors
///
/// Returns an error if the load fails or a daemon has exited.
pub async fn measure_under_load(
    fleet: &Fleet,
    load: &LoadOptions,
    daemons: &[usize],
) -> Result<LoadMeasurement> {
    let run = start(load, fleet.dir())?;
    sleep(LOAD_START + Duration::from_secs(load.warm_up)).await;
    let costs = measure_cost(fleet, daemons, Duration::from_secs(load.seconds)).await?;
    let flows = finish(run, fleet.dir()).await?;
    Ok(LoadMeasurement {
        flows,
        daemons: costs,
    })
}

/// Measures daemons over a period.
///
/// # Errors
///
/// Returns an error if a daemon has exited.
pub async fn measure_cost(
    fleet: &Fleet,
    daemons: &[usize],
    duration: Duration,
) -> Result<Vec<Cost>> {
    let cpu_so_far = |index: &usize| fleet.members[*index].daemon.cpu();
    let before = daemons.iter().map(cpu_so_far).collect::<Result<Vec<_>>>()?;
    sleep(duration).await;
    let after = daemons.iter().map(cpu_so_far).collect::<Result<Vec<_>>>()?;
    let cpu_time = before.iter().zip(after).map(|(b, a)| a.saturating_sub(*b));
    let mut costs = Vec::new();
    for (index, cpu_time) in daemons.iter().zip(cpu_time) {
        costs.push(Cost {
            cores: cpu_time.as_secs_f64() / duration.as_secs_f64(),
            memory: fleet.members[*index].daemon.memory()?,
        });
    }
    Ok(costs)
}
