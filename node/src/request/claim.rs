//! Claims of once-only requests at the replicas of the register.

use super::core::Core;
use crate::process::{
    protocol::{Call, Reply},
    register::RegisterHandle,
};
use cornelrail_lib::{
    moment::Moment,
    name::Node,
    request::{
        once::{
            AddressedRequest, Claim, ClaimId, ClaimState, Identity, Progress, Record, RegisterReply,
        },
        outcome::{Refusal, RefusalReason},
        plan,
    },
};
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Wait for the answers of replicas before what was not answered is sent again.
const ANSWER_PAUSE: Duration = Duration::from_millis(100);

/// Why a claim did not lead to a sending.
#[derive(Debug)]
pub enum Claimed {
    /// It is given up.
    Refused(Refusal),
    /// An earlier sending holds the identity.
    Repeated(Record),
}

type Pending = FuturesUnordered<BoxFuture<'static, Replied>>;

/// Answer of one replica; none if it could not be reached.
struct Replied {
    from: Node,
    answer: Option<RegisterReply>,
}

/// Claims the identity; the claim that comes back holds a majority of its replicas.
pub async fn claim(core: &Core, identity: Identity, deadline: Moment) -> Result<Claim, Claimed> {
    let id = ClaimId {
        node: core.settings.node,
        incarnation: core.incarnation,
        serial: core.next_id(),
    };
    let Some(members) = core.register.members().await else {
        let reason = RefusalReason::NoRecord;
        return Err(Claimed::Refused(Refusal::not_run(
            reason,
            plan::retry_delay(reason),
        )));
    };
    let mut claim = Claim::new(id, identity, deadline, &members);
    let first = claim.start();
    drive(core, &mut claim, first, |claim| {
        *claim.state() != ClaimState::Pending
    })
    .await;
    match claim.state() {
        ClaimState::Granted => Ok(claim),
        ClaimState::Repeated(record) => Err(Claimed::Repeated(record.clone())),
        ClaimState::Refused(refusal) => Err(Claimed::Refused(*refusal)),
        ClaimState::Pending => {
            let reason = RefusalReason::NoRecord;
            Err(Claimed::Refused(Refusal::not_run(
                reason,
                plan::retry_delay(reason),
            )))
        }
    }
}

/// Records what became of a claimed request, in the background.
pub fn record(core: &Core, mut claim: Claim, progress: Progress) {
    let core = core.clone();
    let flight = core.flights.begin();
    tokio::spawn(async move {
        let _flight = flight;
        let first = claim.record(progress);
        drive(&core, &mut claim, first, |_| false).await;
    });
}

/// Gives a claim up whose request certainly did not run, in the background.
pub fn release(core: &Core, mut claim: Claim) {
    let core = core.clone();
    let flight = core.flights.begin();
    tokio::spawn(async move {
        let _flight = flight;
        let first = claim.release();
        drive(&core, &mut claim, first, |_| false).await;
    });
}

/// Exchanges messages with the replicas until `done` or until there is nothing more to say. What
/// the end of the claim itself has to say goes on in the background.
async fn drive(
    core: &Core,
    claim: &mut Claim,
    first: Vec<AddressedRequest>,
    done: impl Fn(&Claim) -> bool,
) {
    let mut pending = Pending::new();
    send(core, &mut pending, first);
    let mut tick = Instant::now() + ANSWER_PAUSE;
    while !done(claim) {
        tokio::select! {
            Some(replied) = pending.next() => {
                let more = match &replied.answer {
                    Some(answer) => claim.on_reply(replied.from, answer),
                    None => Vec::new(),
                };
                if done(claim) {
                    send_in_background(core, more);
                    return;
                }
                send(core, &mut pending, more);
            }
            () = sleep_until(tick) => {
                let more = claim.on_timeout(core.clock.now());
                if more.is_empty() && pending.is_empty() {
                    return;
                }
                send(core, &mut pending, more);
                tick = Instant::now() + ANSWER_PAUSE;
            }
        }
    }
}

fn send(core: &Core, pending: &mut Pending, envelopes: Vec<AddressedRequest>) {
    for envelope in envelopes {
        let core = core.clone();
        pending.push(Box::pin(async move { deliver(&core, envelope).await }));
    }
}

fn send_in_background(core: &Core, envelopes: Vec<AddressedRequest>) {
    for envelope in envelopes {
        let core = core.clone();
        tokio::spawn(async move { deliver(&core, envelope).await });
    }
}

async fn deliver(core: &Core, envelope: AddressedRequest) -> Replied {
    let from = envelope.to;
    let answer = match core.peers.get(&from) {
        None if from == core.settings.node => own_answer(&core.register, from, envelope).await,
        None => None,
        Some(link) => match link
            .call(&Call::Once(envelope.request), ANSWER_PAUSE * 3)
            .await
        {
            Some(Reply::Once(answer)) => Some(answer),
            _ => None,
        },
    };
    Replied { from, answer }
}

async fn own_answer(
    register: &RegisterHandle,
    me: Node,
    envelope: AddressedRequest,
) -> Option<RegisterReply> {
    register.ask(me, envelope.request).await
}
