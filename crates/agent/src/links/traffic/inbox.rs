//! Handles the frames received over a traffic link.

use std::{collections::HashMap, sync::Arc};

use anyhow::{Context, ensure};
use body_budget::BodyBudget;
use bytes::Bytes;
use model::{NotRunReason, UnknownReason};
use wire::traffic::{Chunk, CorrelationId, Failed, FailureReason, Frame, Records, RecordsTaken};

use crate::{
    ingress::body_retry_after,
    links::{
        socket::Inbox,
        traffic::{
            Handler,
            assembly::{Assembly, Handover, Head, Progress},
            link::{Link, PendingReply},
            serve::RunningRequests,
        },
    },
    request::{GateReply, GateRequest, ReplyWithLoad, answer_from_parts},
};

/// Largest total size of a link's incomplete bodies.
const ASSEMBLY_BYTES_MAX: usize = 256 << 20;
/// Largest number of a link's incomplete bodies.
const ASSEMBLIES_MAX: usize = 4096;

pub(super) struct TrafficInbox {
    link: Arc<Link>,
    handler: Arc<dyn Handler>,
    running: Arc<RunningRequests>,
    assemblies: HashMap<CorrelationId, Assembly>,
    assembly_bytes: usize,
    bodies: BodyBudget,
}

impl TrafficInbox {
    pub(super) fn new(
        link: Arc<Link>,
        handler: Arc<dyn Handler>,
        bodies: BodyBudget,
    ) -> TrafficInbox {
        TrafficInbox {
            link,
            handler,
            running: Arc::default(),
            assemblies: HashMap::new(),
            assembly_bytes: 0,
            bodies,
        }
    }

    async fn handle_frame(&mut self, frame: Frame) -> Result<(), anyhow::Error> {
        match frame {
            Frame::Request(it) => {
                ensure!(
                    !self.assemblies.contains_key(&it.id),
                    "received a request frame whose id is in use"
                );
                self.handle_progress(it.id, Head::Request(it).start(&self.bodies)).await
            }
            Frame::Answer(it) => {
                ensure!(
                    !self.assemblies.contains_key(&it.id),
                    "received an answer frame whose id is in use"
                );
                self.handle_progress(it.id, Head::Answer(it).start(&self.bodies)).await
            }
            Frame::Records(it) => {
                ensure!(
                    !self.assemblies.contains_key(&it.id),
                    "received a records frame whose id is in use"
                );
                self.handle_progress(it.id, Head::Records(it).start(&self.bodies)).await
            }
            Frame::Chunk(chunk) => self.handle_chunk(&chunk).await,
            Frame::Failed(it) => {
                let load = it.load;
                self.deliver_reply(it.id, ReplyWithLoad { load, reply: it.into() });
                Ok(())
            }
            Frame::NotOwner(it) => {
                let reply =
                    GateReply::NotOwner { owner: it.owner, route_version: it.route_version };
                self.deliver_reply(it.id, reply.into());
                Ok(())
            }
            Frame::Cancel(id) => {
                self.discard_assembly(id);
                self.running.cancel(id);
                Ok(())
            }
            Frame::RecordsTaken(it) => {
                if let Some(PendingReply::HandoverResult(sender)) = self.link.take_pending(it.id) {
                    // Fails if the handover has timed out.
                    _ = sender.send(it.taken);
                }
                Ok(())
            }
            Frame::Retire => {
                self.link.retire_by_peer();
                Ok(())
            }
        }
    }

    async fn handle_chunk(&mut self, chunk: &Chunk) -> Result<(), anyhow::Error> {
        // Chunks of a cancelled or broken body may still arrive.
        let Some(assembly) = self.discard_assembly(chunk.id) else { return Ok(()) };
        self.handle_progress(chunk.id, assembly.add(chunk)).await
    }

    fn discard_assembly(&mut self, id: CorrelationId) -> Option<Assembly> {
        let assembly = self.assemblies.remove(&id)?;
        self.assembly_bytes -= assembly.len();
        Some(assembly)
    }

    async fn handle_progress(
        &mut self,
        id: CorrelationId,
        progress: Progress,
    ) -> Result<(), anyhow::Error> {
        match progress {
            Progress::Partial(assembly) => {
                self.assembly_bytes += assembly.len();
                self.assemblies.insert(id, assembly);
                ensure!(
                    self.assembly_bytes <= ASSEMBLY_BYTES_MAX,
                    "incomplete bodies exceed {ASSEMBLY_BYTES_MAX} bytes"
                );
                ensure!(
                    self.assemblies.len() <= ASSEMBLIES_MAX,
                    "more than {ASSEMBLIES_MAX} incomplete bodies"
                );
                Ok(())
            }
            Progress::NoRoom(Head::Request(_), exceeded) => {
                let retry_after_ms = (!exceeded.is_permanent)
                    .then(|| u64::try_from(body_retry_after().as_millis()).unwrap_or(u64::MAX));
                let reason = FailureReason::NotRun(NotRunReason::Overloaded);
                let failed = Frame::Failed(Failed { id, reason, retry_after_ms, load: None });
                self.send_small(&failed).await
            }
            // The request has run, and the link cannot wait: other messages are behind the body.
            Progress::NoRoom(Head::Answer(_), _) => {
                self.deliver_reply(id, GateReply::unknown(UnknownReason::BrokenAnswer).into());
                Ok(())
            }
            Progress::NoRoom(Head::Records(_), _) => {
                self.send_small(&Frame::RecordsTaken(RecordsTaken { id, taken: false })).await
            }
            Progress::Broken(Head::Answer(_)) => {
                self.deliver_reply(id, GateReply::unknown(UnknownReason::BrokenAnswer).into());
                Ok(())
            }
            Progress::Broken(_) => {
                anyhow::bail!("a chunk of a body is missing, repeated, out of order or too long")
            }
            Progress::Complete(Head::Request(it)) => {
                let request = GateRequest::try_from(*it).context("invalid request frame")?;
                let reply_future = self.handler.handle_request(&self.link.peer, request);
                self.running.start(&self.link, id, reply_future);
                Ok(())
            }
            Progress::Complete(Head::Answer(it)) => {
                let load = it.load;
                let answer = answer_from_parts(it.status, &it.headers, it.body);
                let reply = match answer {
                    Ok(answer) => GateReply::Answered(answer),
                    Err(_) => GateReply::unknown(UnknownReason::BrokenAnswer),
                };
                self.deliver_reply(id, ReplyWithLoad { reply, load });
                Ok(())
            }
            Progress::Complete(Head::Records(it)) => self.handle_records(it).await,
        }
    }

    async fn handle_records(&mut self, records: Records) -> Result<(), anyhow::Error> {
        let Records { id, service, unit, token, body, .. } = records;
        let handover = Handover { service, unit, token, records: body };
        let taken = self.handler.import_records(&self.link.peer, handover);
        self.send_small(&Frame::RecordsTaken(RecordsTaken { id, taken })).await
    }

    async fn send_small(&self, frame: &Frame) -> Result<(), anyhow::Error> {
        let sent = self.link.send_small(frame).await;
        sent.map_err(|_| anyhow::anyhow!("the link's writer has ended"))
    }

    /// Passes a reply to the request that awaits it. Drops a reply that is late, duplicate or made up.
    fn deliver_reply(&self, id: CorrelationId, reply_with_load: ReplyWithLoad) {
        if let Some(PendingReply::Reply(sender)) = self.link.take_pending(id) {
            // Fails if the request was cancelled or has timed out.
            drop(sender.send(reply_with_load));
        }
    }
}

impl Inbox for TrafficInbox {
    async fn handle(&mut self, message: Bytes) -> Result<(), anyhow::Error> {
        let frame = Frame::parse(&message).context("invalid frame")?;
        self.handle_frame(frame).await
    }
}
