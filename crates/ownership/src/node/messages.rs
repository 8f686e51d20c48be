//! Handling of messages from other nodes of the group.

use std::time::Duration;

use model::Instance;

use crate::{
    Event, Message,
    ctx::Ctx,
    rules::{self, Rule},
};

use super::Node;

/// Delay before a member retries to join a group that was full, before jitter.
const JOIN_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Node {
    pub(super) fn handle_message(&mut self, ctx: &mut Ctx<'_>, from: &Instance, message: Message) {
        self.update_known_term_from(ctx, from, &message);
        self.record_contact(ctx, from);
        let known = self.known.term;
        let accepts_earlier =
            message.term() < known && !rules::is_enforced(Rule::RefuseEarlierTerms);
        let from_coordinator =
            accepts_earlier || (message.term() == known && self.is_coordinator(from));
        if from_coordinator {
            self.known.has_direct_contact = true;
        }
        match message {
            Message::CoordinatorQuery { .. } => self.send_coordinator(ctx, from),
            Message::CoordinatorReply { term, silence_ms, coordinator } if term == known => {
                self.defer_takeover(ctx, coordinator.as_ref(), silence_ms);
            }
            Message::CoordinatorReply { .. } => {}
            Message::WitnessQuery { number, .. } => {
                let has_read = self.takeover.has_read();
                ctx.send(from, Message::WitnessReply { term: known, number, has_read });
            }
            Message::Renew(_) if self.coordination.is_none() => {
                let coordinator = self.known.coordinator.clone();
                ctx.send(from, Message::NotCoordinator { term: known, coordinator });
            }
            message @ (Message::Renew(_) | Message::WitnessReply { .. }) => {
                if let Some(coordination) = &mut self.coordination {
                    coordination.handle_message(ctx, from, &message);
                }
            }
            Message::NotCoordinator { .. } if from_coordinator => self.mark_vacant(),
            Message::NotCoordinator { .. } => {}
            // The message is from an earlier term: its sender has not seen the current one yet.
            _ if message.term() < known && !accepts_earlier => self.send_coordinator(ctx, from),
            _ if !from_coordinator => {}
            Message::Announce { .. } => {
                self.known.last_contact_at = ctx.now;
                if !self.member.is_acknowledged() {
                    self.renew_now(ctx);
                }
            }
            Message::Released { .. } => self.mark_vacant(),
            Message::Renewed(answer) => {
                self.known.last_contact_at = ctx.now;
                let own = self.coordination.as_mut().and_then(|it| it.renew_coordinator_lease(ctx));
                self.member.handle_renewed(ctx, &answer, own);
            }
            Message::SessionEnded { session, .. } => self.member.handle_session_ended(ctx, session),
            Message::JoinRefused { .. } => {
                self.known.last_contact_at = ctx.now;
                let retry_at = ctx.now + ctx.jittered(JOIN_RETRY_DELAY);
                self.member.retry_join_at(retry_at);
                self.takeover.expect_quiet_until(retry_at);
                ctx.emit(Event::JoinRefused { member: ctx.own_instance().clone() });
            }
        }
    }

    /// Updates the known term and coordinator from a message; any message may carry a higher term.
    fn update_known_term_from(&mut self, ctx: &mut Ctx<'_>, from: &Instance, message: &Message) {
        let coordinator = match message {
            Message::Announce { .. }
            | Message::WitnessQuery { .. }
            | Message::Renewed(_)
            | Message::SessionEnded { .. }
            | Message::JoinRefused { .. } => Some(from),
            Message::CoordinatorReply { coordinator, .. }
            | Message::NotCoordinator { coordinator, .. } => coordinator.as_ref(),
            Message::CoordinatorQuery { .. }
            | Message::Released { .. }
            | Message::WitnessReply { .. }
            | Message::Renew(_) => None,
        };
        self.update_known_term(ctx, message.term(), coordinator);
    }

    fn send_coordinator(&mut self, ctx: &mut Ctx<'_>, to: &Instance) {
        let silence = ctx.now.since(self.known.last_contact_at);
        let message = Message::CoordinatorReply {
            term: self.known.term,
            coordinator: self.known.coordinator.clone(),
            silence_ms: u32::try_from(silence.as_millis()).unwrap_or(u32::MAX),
        };
        ctx.send(to, message);
    }

    /// Marks the known term as vacant after its holder has released it.
    fn mark_vacant(&mut self) {
        if self.coordination.is_none() {
            self.known.coordinator = None;
            self.known.vacant = true;
        }
    }
}
