//! The losses that the operator requires the system to tolerate (keys `faultTolerance.…`).

use std::fmt;

use super::error::SettingsError;
use super::lines::{SettingsLines, WHOLE_NUMBER};

const HOSTS_KEY: &str = "faultTolerance.hostsLost";
const ZONES_KEY: &str = "faultTolerance.zones";
const REGIONS_KEY: &str = "faultTolerance.regions";

/// The losses that may occur at the same time without loss of service or of acknowledged changes: that many machines,
/// or all machines in that many zones, or all machines in that many regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// The number of machines.
    pub hosts: u32,
    /// The number of zones.
    pub zones: u32,
    /// The number of regions.
    pub regions: u32,
}

/// A number of zones or regions whose loss cannot be tolerated, as there are too few of them: if voters stand in `2 n` or
/// fewer domains, some `n` of these contain at least half of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFewDomains {
    /// The key of the setting.
    pub key: &'static str,
    /// The number of domains whose loss is to be tolerated.
    pub tolerated: u32,
    /// The number of domains that this takes.
    pub needed: u64,
    /// The number of domains that the file names.
    pub present: usize,
}

impl FaultTolerance {
    pub(super) fn parse(lines: &SettingsLines) -> Result<Self, SettingsError> {
        Ok(FaultTolerance {
            hosts: lines.with_default(HOSTS_KEY, WHOLE_NUMBER, 1)?,
            zones: lines.with_default(ZONES_KEY, WHOLE_NUMBER, 0)?,
            regions: lines.with_default(REGIONS_KEY, WHOLE_NUMBER, 0)?,
        })
    }

    /// The tolerated losses that no placement can withstand with this many zones and regions; without zones, none are
    /// known to be unattainable.
    pub(super) fn unattainable(&self, zones: usize, regions: usize) -> Vec<TooFewDomains> {
        let check = |key, tolerated: u32, present: usize| {
            let needed = 2 * u64::from(tolerated) + 1;
            let is_attainable = tolerated == 0 || present == 0 || present as u64 >= needed;
            (!is_attainable).then_some(TooFewDomains { key, tolerated, needed, present })
        };
        let checks = [check(ZONES_KEY, self.zones, zones), check(REGIONS_KEY, self.regions, regions)];
        checks.into_iter().flatten().collect()
    }
}

impl fmt::Display for TooFewDomains {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TooFewDomains { key, tolerated, needed, present } = self;
        write!(
            formatter,
            "{key}: {tolerated} cannot be tolerated, this takes {needed}, and zones names {present}"
        )
    }
}
