//! The data plane: the driver of an edge. It owns sockets, clock and signals; every decision on a request is made by
//! `shaletrail-routing`.
//!
//! A request passes the modules in this order:
//!
//! | module | job |
//! | --- | --- |
//! | `listener` | accepts client connections, serves requests on them, enforces their time-outs |
//! | `client_connection` | the state of one client connection |
//! | `ingress` | reads a request, finds its route, hands it to the router |
//! | [`request`] | parses the headers of requests |
//! | `client_request` | the buffered request, and how each attempt sends it |
//! | `request_handle` | an open request between the router and its exchange |
//! | `exchange` | carries out the router's commands for one request |
//! | `mailbox` | delivers commands to exchanges |
//! | `attempt`, `progress`, `attempt_result` | one attempt: its course, what is reported of it, its end |
//! | `pool` | connections to servers, and the reuse of idle ones |
//! | `server_connection` | opens a connection to a server and sends on it |
//! | `tracked_stream` | notifies of reads from and writes to a socket |
//! | [`response`] | classifies the head of a server's response |
//! | `server_response` | buffers or forwards a server's response |
//! | [`event_splitter`] | splits streams into events |
//! | `stall_detector` | detects streams that pause for too long |
//! | `client_response` | the response to the client |
//! | `response_body` | hands the response from the exchange to the client's connection |
//!
//! The other modules:
//!
//! | module | job |
//! | --- | --- |
//! | `server` | start-up and the tasks of the process |
//! | `graceful_shutdown`, [`shutdown_window`] | shutdown, and which requests are accepted during it |
//! | `state`, `clock`, `body_memory` | what the tasks share |
//! | `poller`, `coordinator_link`, [`poll_timeouts`] | long polls of a coordinator |
//! | [`coordinators`] | which coordinator is polled |
//! | `peers`, [`load_datagrams`] | loads exchanged among edges |
//! | `readiness` | the platform's health checks |
//! | `control` | signals |

mod attempt;
mod attempt_result;
mod body_memory;
mod client_connection;
mod client_request;
mod client_response;
mod clock;
mod control;
mod coordinator_link;
pub mod coordinators;
mod error;
pub mod event_splitter;
mod exchange;
mod graceful_shutdown;
mod ingress;
mod listener;
pub mod load_datagrams;
mod mailbox;
mod peers;
pub mod poll_timeouts;
mod poller;
mod pool;
mod progress;
mod readiness;
pub mod request;
mod request_handle;
pub mod response;
mod response_body;
mod server;
mod server_connection;
mod server_response;
mod shared_stream;
pub mod shutdown_window;
mod stall_detector;
mod state;
mod tracked_stream;
pub mod unacknowledged_limit;

pub use control::Control;
pub use error::DataplaneError;
pub use server::{run, Dataplane};
