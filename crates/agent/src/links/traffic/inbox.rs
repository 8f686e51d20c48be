//! What comes in over a traffic link.

use std::{collections::HashMap, sync::Arc};

use anyhow::{Context, ensure};
use bytes::Bytes;
use model::UnknownReason;
use wire::traffic::{Chunk, CorrelationId, Frame, Records, RecordsTaken};

use crate::{
    links::{
        socket::Inbox,
        traffic::{
            Handler,
            assembly::{Assembly, Handover, Head, Progress},
            link::{Link, Waiting},
            serve::Served,
        },
    },
    request::{GateReply, GateRequest, ReplyWithLoad, answer_from_parts},
};

/// How many bytes of unfinished bodies a link may hold.
const ASSEMBLING_BYTES_MAX: usize = 256 << 20;
/// How many unfinished bodies a link may hold.
const ASSEMBLING_MAX: usize = 4096;

pub(super) struct TrafficInbox {
    link: Arc<Link>,
    handler: Arc<dyn Handler>,
    served: Arc<Served>,
    assembling: HashMap<CorrelationId, Assembly>,
    assembling_bytes: usize,
}

impl TrafficInbox {
    pub(super) fn new(link: Arc<Link>, handler: Arc<dyn Handler>) -> TrafficInbox {
        TrafficInbox {
            link,
            handler,
            served: Arc::default(),
            assembling: HashMap::new(),
            assembling_bytes: 0,
        }
    }

    async fn frame(&mut self, frame: Frame) -> Result<(), anyhow::Error> {
        match frame {
            Frame::Request(it) => {
                ensure!(!self.assembling.contains_key(&it.id), "a request came twice");
                self.progress(it.id, Head::Request(it).start()).await
            }
            Frame::Answer(it) => {
                ensure!(!self.assembling.contains_key(&it.id), "an answer came twice");
                self.progress(it.id, Head::Answer(it).start()).await
            }
            Frame::Records(it) => {
                ensure!(!self.assembling.contains_key(&it.id), "records came twice");
                self.progress(it.id, Head::Records(it).start()).await
            }
            Frame::Chunk(chunk) => self.chunk(&chunk).await,
            Frame::Failed(it) => {
                let load = it.load;
                self.reply(it.id, ReplyWithLoad { load, reply: it.into() });
                Ok(())
            }
            Frame::NotOwner(it) => {
                let reply =
                    GateReply::NotOwner { owner: it.owner, route_version: it.route_version };
                self.reply(it.id, reply.into());
                Ok(())
            }
            Frame::Cancel(id) => {
                self.forget(id);
                self.served.cancel(id);
                Ok(())
            }
            Frame::RecordsTaken(it) => {
                if let Some(Waiting::Taken(sender)) = self.link.take(it.id) {
                    // Whoever waited may have given up.
                    _ = sender.send(it.taken);
                }
                Ok(())
            }
        }
    }

    async fn chunk(&mut self, chunk: &Chunk) -> Result<(), anyhow::Error> {
        // The rest of something cancelled or broken may still come in.
        let Some(assembly) = self.forget(chunk.id) else { return Ok(()) };
        self.progress(chunk.id, assembly.add(chunk)).await
    }

    fn forget(&mut self, id: CorrelationId) -> Option<Assembly> {
        let assembly = self.assembling.remove(&id)?;
        self.assembling_bytes -= assembly.len();
        Some(assembly)
    }

    async fn progress(
        &mut self,
        id: CorrelationId,
        progress: Progress,
    ) -> Result<(), anyhow::Error> {
        match progress {
            Progress::More(assembly) => {
                self.assembling_bytes += assembly.len();
                self.assembling.insert(id, assembly);
                ensure!(
                    self.assembling_bytes <= ASSEMBLING_BYTES_MAX,
                    "unfinished bodies are too large"
                );
                ensure!(self.assembling.len() <= ASSEMBLING_MAX, "unfinished bodies are too many");
                Ok(())
            }
            Progress::Broken(Head::Answer(_)) => {
                self.reply(id, GateReply::unknown(UnknownReason::BrokenAnswer).into());
                Ok(())
            }
            Progress::Broken(_) => anyhow::bail!("a body is broken"),
            Progress::Whole(Head::Request(it)) => {
                let request = GateRequest::try_from(*it).context("request")?;
                let serving = self.handler.request(&self.link.peer, request);
                self.served.start(&self.link, id, serving);
                Ok(())
            }
            Progress::Whole(Head::Answer(it)) => {
                let load = it.load;
                let answer = answer_from_parts(it.status, &it.headers, it.body);
                let reply = match answer {
                    Ok(answer) => GateReply::Answered(answer),
                    Err(_) => GateReply::unknown(UnknownReason::BrokenAnswer),
                };
                self.reply(id, ReplyWithLoad { reply, load });
                Ok(())
            }
            Progress::Whole(Head::Records(it)) => self.records(it).await,
        }
    }

    async fn records(&mut self, records: Records) -> Result<(), anyhow::Error> {
        let Records { id, service, unit, token, body, .. } = records;
        let handover = Handover { service, unit, token, records: body };
        let taken = self.handler.records(&self.link.peer, handover);
        let frame = Frame::RecordsTaken(RecordsTaken { id, taken });
        self.link.send_small(&frame).await.map_err(|_| anyhow::anyhow!("the writer has ended"))
    }

    /// An answer nobody waits for is late, doubled or made up, and goes nowhere else.
    fn reply(&self, id: CorrelationId, replied: ReplyWithLoad) {
        if let Some(Waiting::Reply(sender)) = self.link.take(id) {
            // Whoever waited may have given up.
            drop(sender.send(replied));
        }
    }
}

impl Inbox for TrafficInbox {
    async fn take(&mut self, message: Bytes) -> Result<(), anyhow::Error> {
        let frame = Frame::parse(&message).context("frame")?;
        self.frame(frame).await
    }
}
