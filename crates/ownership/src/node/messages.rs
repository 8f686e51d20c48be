//! What a node makes of a message, by its part in the group.

use std::time::Duration;

use model::Instance;

use crate::{
    Event, Message,
    ctx::Ctx,
    member::Member,
    rules::{self, Rule},
};

use super::Node;

/// How long a member waits that has been refused for want of room.
const JOIN_AGAIN_AFTER: Duration = Duration::from_secs(5);

impl Node {
    pub(super) fn message(&mut self, ctx: &mut Ctx<'_>, from: &Instance, message: Message) {
        self.learn_from(ctx, from, &message);
        self.heard(ctx, from);
        let known = self.known.term;
        let earlier = message.term() < known && !rules::is_enforced(Rule::RefuseEarlierTerms);
        let of_coordinator = earlier || (message.term() == known && self.is_coordinator(from));
        if of_coordinator {
            self.known.in_person = true;
        }
        match message {
            Message::CoordinatorQuery { .. } => self.tell_coordinator(ctx, from),
            Message::CoordinatorReply { term, silence_ms, coordinator } if term == known => {
                self.coordinator_heard_by_other(ctx, coordinator.as_ref(), silence_ms);
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
            Message::NotCoordinator { .. } if of_coordinator => self.vacate(),
            Message::NotCoordinator { .. } => {}
            // Of an earlier term: its sender does not know yet.
            _ if message.term() < known && !earlier => self.tell_coordinator(ctx, from),
            _ if !of_coordinator => {}
            Message::Announce { .. } => {
                self.known.heard_at = ctx.now;
                if !self.member.is_adopted() {
                    self.renew_now(ctx);
                }
            }
            Message::Released { .. } => self.vacate(),
            Message::Renewed(answer) => {
                self.known.heard_at = ctx.now;
                let own = self.coordination.as_mut().and_then(|it| it.renew_coordinator_lease(ctx));
                self.member.renewed(ctx, &answer, own);
            }
            Message::SessionEnded { session, .. } => self.member.session_ended(ctx, session),
            Message::JoinRefused { .. } => {
                self.known.heard_at = ctx.now;
                Member::retry_after(&mut self.member, ctx.now + JOIN_AGAIN_AFTER);
                ctx.event(Event::JoinRefused { member: ctx.own_instance().clone() });
            }
        }
    }

    /// Any message may carry the news of a higher term.
    fn learn_from(&mut self, ctx: &mut Ctx<'_>, from: &Instance, message: &Message) {
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
        self.learn(ctx, message.term(), coordinator);
    }

    fn tell_coordinator(&mut self, ctx: &mut Ctx<'_>, to: &Instance) {
        let silent = ctx.now.since(self.known.heard_at);
        let message = Message::CoordinatorReply {
            term: self.known.term,
            coordinator: self.known.coordinator.clone(),
            silence_ms: u32::try_from(silent.as_millis()).unwrap_or(u32::MAX),
        };
        ctx.send(to, message);
    }

    /// Nobody holds the term that is known any more.
    fn vacate(&mut self) {
        if self.coordination.is_none() {
            self.known.coordinator = None;
            self.known.vacant = true;
        }
    }
}
