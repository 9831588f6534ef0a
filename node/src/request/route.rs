//! A request's way through this entry: plan, carry out, and plan again while that is safe.

use super::{
    body::Body,
    core::Core,
    forward,
    message::{Answer, Failure, RequestHead},
    serve,
};
use cornelrail_lib::{
    key::KeyHash,
    request::{
        outcome::{Certainty, Refusal, RefusalReason},
        plan::{self, Plan},
    },
};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tracing::{Instrument, debug_span};

/// Longest wait for a change of the fleet's state before the plan is made again.
const REPLAN_PAUSE: Duration = Duration::from_millis(20);

/// Brings a request to its final outcome.
pub async fn route(core: &Core, head: RequestHead, body: Body) -> Result<Answer, Refusal> {
    let deadline = Instant::now() + Duration::from_millis(head.left_ms);
    let hash = head.hash();
    let mut journey = Journey {
        core,
        spare: body.copy().map(Body::Whole),
        certainty: Certainty::NotRun,
        head,
        hash,
        deadline,
    };
    journey.run(body).await
}

/// A request with what it needs to be sent again.
struct Journey<'a> {
    core: &'a Core,
    head: RequestHead,
    hash: KeyHash,
    spare: Option<Body>,
    certainty: Certainty,
    deadline: Instant,
}

impl Journey<'_> {
    async fn run(&mut self, body: Body) -> Result<Answer, Refusal> {
        let mut body = body;
        loop {
            let failure = match self.step(body).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.note(failure)?;
            let Some(spare) = self.spare.as_ref().and_then(Body::copy) else {
                return Err(self.refusal(RefusalReason::NoOwner));
            };
            body = Body::Whole(spare);
            self.wait_for_change().await;
        }
    }

    /// Carries out the plan of this moment.
    async fn step(&mut self, body: Body) -> Result<Answer, Failure> {
        loop {
            if Instant::now() >= self.deadline {
                return Err(self.refusal(RefusalReason::Deadline).into());
            }
            match self.plan() {
                Plan::Refuse(reason) => return Err(self.refusal(reason).into()),
                Plan::Wait => self.wait_for_change().await,
                Plan::Send => return self.serve_here(body).await,
                Plan::Forward(node) => return self.forward(node, body).await,
            }
        }
    }

    fn plan(&self) -> Plan {
        let view = self.core.view.borrow();
        let standing = self.core.standing(&view);
        plan::plan(&view.fleet, standing, self.head.service.as_str(), self.hash)
    }

    async fn serve_here(&self, body: Body) -> Result<Answer, Failure> {
        let span = debug_span!("home", request = self.head.id);
        serve::serve(self.core, self.left_head(), body)
            .instrument(span)
            .await
    }

    async fn forward(
        &self,
        node: cornelrail_lib::name::Node,
        body: Body,
    ) -> Result<Answer, Failure> {
        let Some(link) = self.core.peers.get(&node) else {
            return Err(Failure::Elsewhere);
        };
        let span = debug_span!("forward", request = self.head.id, to = node.0);
        let forwarding = forward::forward(link, self.left_head(), body).instrument(span);
        tokio::select! {
            outcome = timeout_at(self.deadline, forwarding) => match outcome {
                Ok(outcome) => outcome,
                Err(_) => Err(Failure::Lost),
            },
            () = self.core.home_lost(node) => Err(Failure::Lost),
        }
    }

    /// The head with the time that is left now.
    fn left_head(&self) -> RequestHead {
        let left = self.deadline.saturating_duration_since(Instant::now());
        RequestHead {
            left_ms: left.as_millis() as u64,
            ..self.head.clone()
        }
    }

    /// Takes in what a failed step means for the next one.
    fn note(&mut self, failure: Failure) -> Result<(), Refusal> {
        match failure {
            Failure::Refused(refusal) => Err(self.at_least(refusal)),
            Failure::Elsewhere => Ok(()),
            Failure::Lost => {
                self.certainty = Certainty::Unknown;
                if self.head.once {
                    return Err(self.refusal(RefusalReason::EntryFailed));
                }
                Ok(())
            }
        }
    }

    /// A refusal of this step may not say more than is known of the steps before.
    fn at_least(&self, refusal: Refusal) -> Refusal {
        match self.certainty {
            Certainty::NotRun => refusal,
            Certainty::Unknown => Refusal::unknown(refusal.reason, refusal.retry),
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        self.at_least(Refusal::not_run(reason, plan::retry_delay(reason)))
    }

    async fn wait_for_change(&self) {
        let mut view = self.core.view.clone();
        let until = self.deadline.min(Instant::now() + REPLAN_PAUSE);
        // Both a change and a time-out lead to a new plan.
        let _ = timeout_at(until, view.changed()).await;
    }
}
