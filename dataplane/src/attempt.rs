//! One attempt to serve a request from a server: checks out a connection, sends the request, and handles the
//! response according to its head.

use std::rc::Rc;
use std::time::Duration;

use shaletrail_routing::interface::{Ending, Verdict};

use crate::attempt_result::AttemptResult;
use crate::client_request::ClientRequest;
use crate::client_response::ClientResponse;
use crate::command_queues::SendCommand;
use crate::progress::Progress;
use crate::response::{classify, BodyFraming, ResponseKind};
use crate::server_connection::{SendError, ServerConnection};
use crate::server_response::ServerResponse;

/// Sends the request once. A successful response is forwarded to `client`; a failure is buffered and
/// returned.
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

/// Sends the request and waits for the head of the response, whether that is a success or a failure.
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
    let write_progress = progress.clone();
    let time_left = Duration::from_millis(command.deadline_ms);
    match connection.send(message, time_left, Box::new(move || write_progress.on_request_written())).await {
        Ok(response) => Ok(ServerResponse::new(response, connection)),
        Err(error) => Err(send_failure(&error)),
    }
}

/// Classifies the response by its head and forwards, buffers or drops it.
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
        ResponseKind::Success(BodyFraming::Events) => {
            response.forward_events(command.resume_after, request.stall_timeout(), progress, client).await
        }
        // The client has received part of an event stream, which only another event stream can continue.
        ResponseKind::Success(_) if client.has_begun() => {
            AttemptResult::without_response(Verdict::MayHaveRun, Ending::MalformedResponse)
        }
        ResponseKind::Success(framing) => response.forward_success(framing, progress, client).await,
    }
}

/// The result of an attempt whose connection ended without a response head. The request is known not to have
/// run only if none of its bytes were written.
fn send_failure(error: &SendError) -> AttemptResult {
    let ending = match error {
        SendError { is_parse_error: true, .. } => Ending::MalformedResponse,
        SendError { was_reused: true, .. } => Ending::StaleConnection,
        SendError { was_written: false, .. } => Ending::Unreachable,
        _ => Ending::ConnectionLost,
    };
    let verdict = if error.was_written { Verdict::MayHaveRun } else { Verdict::NeverSent };
    AttemptResult::without_response(verdict, ending)
}
