//! The data plane of an edge proxy: it owns the sockets, the clock and the signal handlers. Every decision
//! about a request, such as which server it is sent to and whether it is retried, is made by
//! `shaletrail-routing`.
//!
//! Modules on the path of a request, in the order in which it passes them:
//!
//! | module | purpose |
//! | --- | --- |
//! | `listener` | accepts client connections, serves requests on them, enforces their time-outs |
//! | `client_connection` | the state of one client connection |
//! | `ingress` | reads the request's body, finds its route, passes it to the router |
//! | [`request`] | parses request headers |
//! | `client_request` | the buffered request, from which each attempt builds the request to the server |
//! | `request_handle` | registers a request with the router until it is finished |
//! | `exchange` | executes the router's commands for one request |
//! | `command_queues` | queues the router's commands for each exchange |
//! | `attempt`, `progress`, `attempt_result` | one attempt: its steps, its progress reports, its result |
//! | `pool` | connections to servers, and the reuse of idle ones |
//! | `server_connection` | opens a connection to a server and sends requests on it |
//! | [`tcp_user_timeout`] | the TCP user timeout of connections to servers |
//! | `tracked_stream`, `shared_stream` | TCP streams whose reads, writes and state can be observed |
//! | [`response`] | classifies the head of a server's response |
//! | `server_response` | buffers or forwards a server's response |
//! | [`event_splitter`] | splits event streams into events |
//! | `stall_detector` | detects streams that pause for too long |
//! | `client_response` | the response to the client |
//! | `response_body` | passes the response from the exchange to the client connection |
//!
//! Other modules:
//!
//! | module | purpose |
//! | --- | --- |
//! | `server` | start-up and the tasks of the process |
//! | `graceful_shutdown`, [`shutdown_window`] | shutdown, and which requests are accepted during it |
//! | `state`, `clock`, `body_memory` | state shared by the tasks |
//! | `poller`, `coordinator_connection`, [`poll_timeouts`] | long polls of a coordinator |
//! | [`coordinator_selector`] | chooses the coordinator to poll |
//! | `peers`, [`load_datagrams`] | load reports between edges |
//! | `readiness` | the platform's health checks |
//! | `control` | shutdown and reload requests, by signal or by handle |
//! | `error` | errors at start-up |

mod attempt;
mod attempt_result;
mod body_memory;
mod client_connection;
mod client_request;
mod client_response;
mod clock;
mod command_queues;
mod control;
mod coordinator_connection;
pub mod coordinator_selector;
mod error;
pub mod event_splitter;
mod exchange;
mod graceful_shutdown;
mod ingress;
mod listener;
pub mod load_datagrams;
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
pub mod tcp_user_timeout;
mod tracked_stream;

pub use control::Control;
pub use error::DataplaneError;
pub use server::{run, Dataplane};
