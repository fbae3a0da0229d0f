//! `shaletrail-fleet list`: prints the list once, or follows it.

use std::io::Write;
use std::net::SocketAddr;

use shaletrail_registry_client::driver::{fetch_list, ListFollower, ListUpdate};
use shaletrail_registry_client::follow::{ListRequest, Retry};
use shaletrail_registry_protocol::List;

use crate::Failure;

#[derive(clap::Args)]
pub struct Args {
    /// Discovery addresses of the list service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8500")]
    registry: Vec<SocketAddr>,
    /// Print one JSON object per line, in the format of the protocol
    #[arg(long)]
    json: bool,
    /// Keep running and print every change
    #[arg(long)]
    watch: bool,
}

/// Shows the server list once from the first endpoint that answers, or follows it with `--watch`.
pub async fn run(args: Args) -> Result<(), Failure> {
    if !args.watch {
        let mut last_failure = String::new();
        for addr in &args.registry {
            match fetch_list(*addr, ListRequest::Whole).await {
                Ok(list) => return show(&list, args.json),
                Err(e) => last_failure = format!("{addr}: {e}"),
            }
        }
        return Err(Failure::Failed(last_failure));
    }
    let mut follower = ListFollower::new(args.registry, None, Retry::Backoff, u64::from(std::process::id()));
    follower.start();
    loop {
        match follower.next().await {
            ListUpdate::List(list) if list.servers.is_empty() && !list.full => {}
            ListUpdate::List(list) => show(&list, args.json)?,
            ListUpdate::Failed(what) | ListUpdate::Outdated(what) => tracing::warn!("{what}"),
        }
    }
}

fn show(list: &List, as_json: bool) -> Result<(), Failure> {
    let mut text = String::new();
    if as_json {
        text = serde_json::to_string(list).map_err(Failure::failed)? + "\n";
    } else {
        let kind = if list.full { "whole list" } else { "changes" };
        text += &format!("version {}, {kind}\n", list.version);
        for entry in &list.servers {
            let state = format!("{:?}", entry.state).to_lowercase();
            text +=
                &format!("  {:<24} {:<21} {state:<8} {} {}\n", entry.id, entry.addr, entry.zone, entry.kind);
        }
    }
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).map_err(Failure::failed)
}
