//! `POST /v1/completions`: streams one answer.

use super::{
    errors::CallRefusal,
    serve::{refuse, Shared},
    stream::{NewStream, StreamEvent},
    TokenSource,
};
use crate::http::{header, read_body, respond_error, SseWriter};
use flume::Receiver;
use persimmon_core::{
    ids::{AdapterName, ModelVersion, RequestId, WorkspaceId},
    request::{count_tokens, prefix_blocks, Priority, BLOCK_TOKENS},
    units::Tokens,
};
use serde::Deserialize;
use std::{io, mem, str::FromStr, thread};
use tiny_http::Request;

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: ModelVersion,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    adapter: Option<AdapterName>,
}

/// Serves one completion and blocks until it ends.
pub(crate) fn complete(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request);
    let parsed = serde_json::from_slice::<CompletionBody>(&body).ok();
    drop(body);
    let id = parse_header::<RequestId>(&request, "X-Request-Id");
    let (Some(body), Some(id)) = (parsed.filter(|b| b.max_tokens > 0), id) else {
        respond_error(request, 400, "malformed", "not_run");
        return;
    };
    match submit(shared, &request, id, &body) {
        Err(refused) => refuse(request, refused),
        Ok(events) => {
            let tokens = TokenSource::new(&body.model, &body.prompt);
            drop(body);
            // A broken connection only drops the reader; the batch keeps the stream.
            let _ = write_stream(shared, request, &events, &tokens);
        }
    }
}

fn parse_header<T: FromStr>(request: &Request, name: &str) -> Option<T> {
    header(request, name).and_then(|text| text.parse().ok())
}

fn submit(
    shared: &Shared,
    http: &Request,
    request: RequestId,
    body: &CompletionBody,
) -> Result<Receiver<StreamEvent>, CallRefusal> {
    let offset_tokens = Tokens::new(parse_header(http, "X-Offset").unwrap_or(0));
    let (sender, events) = flume::unbounded();
    let resume = header(http, "X-Resume") == Some("1");
    if let Some(fencing) = parse_header(http, "X-Fencing") {
        shared.batch().check_fencing(fencing)?;
    }
    if resume {
        shared.batch().resume(request, offset_tokens, sender)?;
        return Ok(events);
    }
    let workspace = parse_header::<WorkspaceId>(http, "X-Workspace");
    let blocks = workspace.map(|w| prefix_blocks(&w, &body.prompt, BLOCK_TOKENS));
    let spec = NewStream {
        request,
        attempt: parse_header(http, "X-Attempt").unwrap_or_default(),
        model: body.model.clone(),
        adapter: body.adapter.clone(),
        prompt_tokens: count_tokens(&body.prompt),
        blocks: blocks.unwrap_or_default(),
        output_tokens: Tokens::new(body.max_tokens),
        offset_tokens,
        priority: Priority(parse_header(http, "X-Priority").unwrap_or(0)),
    };
    let now = shared.now();
    shared.batch().submit(now, spec, sender)?;
    Ok(events)
}

fn write_stream(
    shared: &Shared,
    request: Request,
    events: &Receiver<StreamEvent>,
    tokens: &TokenSource,
) -> io::Result<()> {
    let mut writer = SseWriter::start(request)?;
    let mut delayed_offset: Option<u64> = None;
    loop {
        let event = events.recv().unwrap_or(StreamEvent::Closed);
        if !shared.delay_answer() || event == StreamEvent::Closed {
            writer.cut();
            return Ok(());
        }
        match event {
            StreamEvent::Token(offset) if shared.faults.current().tokens.reorder => {
                match delayed_offset.take() {
                    None => delayed_offset = Some(offset),
                    Some(earlier) => {
                        write_token(shared, &mut writer, tokens, offset)?;
                        write_token(shared, &mut writer, tokens, earlier)?;
                    }
                }
            }
            StreamEvent::Token(offset) => {
                write_token(shared, &mut writer, tokens, offset)?;
                write_delayed(shared, &mut writer, tokens, mem::take(&mut delayed_offset))?;
            }
            StreamEvent::Done { output_tokens } => {
                write_delayed(shared, &mut writer, tokens, delayed_offset)?;
                return writer.event(&format!(
                    "data: {{\"done\":true,\"output_tokens\":{output_tokens}}}\n\n"
                ));
            }
            StreamEvent::Closed => {}
        }
    }
}

fn write_delayed(
    shared: &Shared,
    writer: &mut SseWriter,
    tokens: &TokenSource,
    delayed_offset: Option<u64>,
) -> io::Result<()> {
    delayed_offset.map_or(Ok(()), |offset| write_token(shared, writer, tokens, offset))
}

fn write_token(
    shared: &Shared,
    writer: &mut SseWriter,
    tokens: &TokenSource,
    offset: u64,
) -> io::Result<()> {
    let faults = shared.faults.current().tokens;
    thread::sleep(faults.delay_ms.duration());
    let token = tokens.token(offset);
    let event = format!("id: {offset}\ndata: {{\"token\":\"{token}\",\"offset\":{offset}}}\n\n");
    writer.event(&event)?;
    match faults.duplicate {
        true => writer.event(&event),
        false => Ok(()),
    }
}
