//! One attempt to serve a request by a server: checks out a connection, sends the request, and handles the response by
//! what its head says.

use std::rc::Rc;
use std::time::Duration;

use shaletrail_routing::interface::{Ending, Verdict};

use crate::attempt_result::AttemptResult;
use crate::client_request::ClientRequest;
use crate::client_response::ClientResponse;
use crate::mailbox::SendCommand;
use crate::progress::Progress;
use crate::response::{classify, BodyShape, ResponseKind};
use crate::server_connection::{SendError, ServerConnection};
use crate::server_response::ServerResponse;

/// Sends the request once and forwards the response, if it is a success.
pub async fn run(
    request: &ClientRequest,
    command: &SendCommand,
    progress: &Rc<Progress>,
    client: &mut ClientResponse,
) -> AttemptResult {
    match send(request, command, progress).await {
        Ok(response) => forward(response, request, command, progress, client).await,
        Err(result) => result,
    }
}

/// Sends the request and waits for the head of a response, whatever it is.
async fn send(
    request: &ClientRequest,
    command: &SendCommand,
    progress: &Rc<Progress>,
) -> Result<ServerResponse, AttemptResult> {
    let state = progress.state();
    let is_excluded = |connection: &ServerConnection| request.is_excluded_from(connection);
    let checked_out = state.pool.check_out(&command.server, &command.address, is_excluded).await;
    let mut connection = checked_out.map_err(|error| {
        slog::debug!(state.log, "failed to connect to server"; "server" => &command.server, "error" => %error);
        AttemptResult::without_response(Verdict::NeverSent, Ending::Unreachable)
    })?;
    let Some(message) = request.to_server_request(command) else {
        return Err(AttemptResult::without_response(Verdict::NeverSent, Ending::Unreachable));
    };
    request.record_connection(connection.id());
    let written = progress.clone();
    let time_left = Duration::from_millis(command.deadline_ms);
    match connection.send(message, time_left, Box::new(move || written.on_request_written())).await {
        Ok(response) => Ok(ServerResponse::new(response, connection)),
        Err(error) => Err(send_failure(&error)),
    }
}

/// Handles a response by the kind that its head gives it.
async fn forward(
    response: ServerResponse,
    request: &ClientRequest,
    command: &SendCommand,
    progress: &Progress,
    client: &mut ClientResponse,
) -> AttemptResult {
    match classify(response.head(), request.method(), request.attempt_id()) {
        ResponseKind::Malformed(reason) => {
            slog::debug!(progress.state().log, "malformed response from server";
                "server" => &command.server, "reason" => ?reason);
            AttemptResult::without_response(Verdict::MayHaveRun, Ending::MalformedResponse)
        }
        ResponseKind::Rejection => response.into_rejection(),
        ResponseKind::Failure => response.buffer_failure().await,
        ResponseKind::Success(BodyShape::Events) => {
            response.forward_events(command.resume_after, request.stall_timeout(), progress, client).await
        }
        // Only a stream can resume a stream that the client has begun to receive.
        ResponseKind::Success(_) if client.has_begun() => {
            AttemptResult::without_response(Verdict::MayHaveRun, Ending::MalformedResponse)
        }
        ResponseKind::Success(shape) => response.forward_success(shape, progress, client).await,
    }
}

/// The result where the connection ended without a response head: only a request of which no byte was written has
/// surely not run.
fn send_failure(error: &SendError) -> AttemptResult {
    let ending = match error {
        SendError { is_parse: true, .. } => Ending::MalformedResponse,
        SendError { was_reused: true, .. } => Ending::StaleConnection,
        SendError { was_written: false, .. } => Ending::Unreachable,
        _ => Ending::ConnectionLost,
    };
    let verdict = if error.was_written { Verdict::MayHaveRun } else { Verdict::NeverSent };
    AttemptResult::without_response(verdict, ending)
}
