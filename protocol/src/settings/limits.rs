//! The resources of the machine (keys `limits.…`).

use super::error::SettingsError;
use super::lines::{SettingsLines, WHOLE_NUMBER};

/// The resources that the process may use on its machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineLimits {
    /// Resident memory of the process, in MB.
    pub memory_mb: u64,
    /// Open file descriptors of the process.
    pub max_fds: u64,
    /// Bandwidth of the network link, in Mbit/s; 0 or more.
    pub link_mbps: f64,
    /// Space on the disk, in MB; 0 where the machine has no disk.
    pub disk_mb: u64,
}

impl MachineLimits {
    pub(super) fn parse(lines: &SettingsLines) -> Result<Self, SettingsError> {
        Ok(MachineLimits {
            memory_mb: lines.or_default("limits.memoryMb", WHOLE_NUMBER, 256)?,
            max_fds: lines.or_default("limits.maxFds", WHOLE_NUMBER, 1024)?,
            link_mbps: lines.amount("limits.linkMbps", 1000.0)?,
            disk_mb: lines.or_default("limits.diskMb", WHOLE_NUMBER, 0)?,
        })
    }
}
