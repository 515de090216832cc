//! `POST /v1/completions`: one streamed answer.

use super::{
    errors::RefusedCall,
    serve::{refuse, Shared},
    stream::{NewStream, Piece},
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

/// Serves one completion on this thread, to its end.
pub(crate) fn complete(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request);
    let parsed = serde_json::from_slice::<CompletionBody>(&body).ok();
    drop(body);
    let id = number::<RequestId>(&request, "X-Request-Id");
    let (Some(body), Some(id)) = (parsed.filter(|b| b.max_tokens > 0), id) else {
        respond_error(request, 400, "malformed", "not_run");
        return;
    };
    match submit(shared, &request, id, &body) {
        Err(refused) => refuse(request, refused),
        Ok(pieces) => {
            let tokens = TokenSource::new(&body.model, &body.prompt);
            drop(body);
            // A broken connection ends the reader; the batch keeps the stream.
            let _ = write_stream(shared, request, &pieces, &tokens);
        }
    }
}

fn number<T: FromStr>(request: &Request, name: &str) -> Option<T> {
    header(request, name).and_then(|text| text.parse().ok())
}

fn submit(
    shared: &Shared,
    http: &Request,
    request: RequestId,
    body: &CompletionBody,
) -> Result<Receiver<Piece>, RefusedCall> {
    let offset_tokens = Tokens::new(number(http, "X-Offset").unwrap_or(0));
    let (sender, pieces) = flume::unbounded();
    let resume = header(http, "X-Resume") == Some("1");
    if let Some(fencing) = number(http, "X-Fencing") {
        shared.batch().check_fencing(fencing)?;
    }
    if resume {
        shared.batch().resume(request, offset_tokens, sender)?;
        return Ok(pieces);
    }
    let workspace = number::<WorkspaceId>(http, "X-Workspace");
    let blocks = workspace.map(|w| prefix_blocks(&w, &body.prompt, BLOCK_TOKENS));
    let spec = NewStream {
        request,
        attempt: number(http, "X-Attempt").unwrap_or_default(),
        model: body.model.clone(),
        adapter: body.adapter.clone(),
        prompt_tokens: count_tokens(&body.prompt),
        blocks: blocks.unwrap_or_default(),
        output_tokens: Tokens::new(body.max_tokens),
        offset_tokens,
        priority: Priority(number(http, "X-Priority").unwrap_or(0)),
    };
    let now = shared.now();
    shared.batch().submit(now, spec, sender)?;
    Ok(pieces)
}

fn write_stream(
    shared: &Shared,
    request: Request,
    pieces: &Receiver<Piece>,
    tokens: &TokenSource,
) -> io::Result<()> {
    let mut writer = SseWriter::start(request)?;
    let mut held_back: Option<u64> = None;
    loop {
        let piece = pieces.recv().unwrap_or(Piece::Cut);
        if !shared.delay_answer() || piece == Piece::Cut {
            writer.cut();
            return Ok(());
        }
        match piece {
            Piece::Token(offset) if shared.faults.current().tokens.reorder => {
                match held_back.take() {
                    None => held_back = Some(offset),
                    Some(earlier) => {
                        write_token(shared, &mut writer, tokens, offset)?;
                        write_token(shared, &mut writer, tokens, earlier)?;
                    }
                }
            }
            Piece::Token(offset) => {
                write_token(shared, &mut writer, tokens, offset)?;
                write_held(shared, &mut writer, tokens, mem::take(&mut held_back))?;
            }
            Piece::Done { output_tokens } => {
                write_held(shared, &mut writer, tokens, held_back)?;
                return writer.event(&format!(
                    "data: {{\"done\":true,\"output_tokens\":{output_tokens}}}\n\n"
                ));
            }
            Piece::Cut => {}
        }
    }
}

fn write_held(
    shared: &Shared,
    writer: &mut SseWriter,
    tokens: &TokenSource,
    held_back: Option<u64>,
) -> io::Result<()> {
    held_back.map_or(Ok(()), |offset| write_token(shared, writer, tokens, offset))
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
