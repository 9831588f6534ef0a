//! A call that a link between core hosts held up takes effect before its sender gives up, or never.

use cornelrail_lib::{
    connection::heartbeat::Heartbeat,
    moment::{ClockReading, Moment},
    name::{Incarnation, Service, Target, Zone},
    process::control_call::{CallDeadline, ControlCall},
    version::desired::Change,
};
use std::time::Duration;

/// Time for which the sender of a call waits.
const PATIENCE: Duration = Duration::from_millis(950);

/// How two clocks and the link between their hosts stand to each other.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// Local moment at which the peer told its clock.
    told: Moment,
    /// How far the peer's clock is ahead.
    lead: Duration,
    /// Time that the reading took to arrive.
    reading_delay: Duration,
}

impl Link {
    /// Moment of the peer's clock.
    fn at_peer(&self, local: Moment) -> Moment {
        local + self.lead
    }

    fn reading(&self) -> ClockReading {
        ClockReading::new(self.at_peer(self.told), self.told + self.reading_delay)
    }

    /// Whether a call that is made at `called` and takes this long to arrive takes effect.
    fn takes_effect(&self, called: Moment, delay: Duration) -> bool {
        let deadline = self.reading().translate(called + PATIENCE);
        let zone_in = ControlCall::ZoneIn(Zone::from("a"));
        zone_in.is_timely(CallDeadline::At(deadline), self.at_peer(called + delay))
    }
}

crate::properties! {
    fn a_peers_clock_is_behind_what_its_reading_tells(
        told: u32, lead: u32, reading_delay: u16, later: u32
    ) -> bool {
        let link = Link {
            told: Moment::from_millis(u64::from(told)),
            lead: Duration::from_millis(u64::from(lead)),
            reading_delay: Duration::from_millis(u64::from(reading_delay)),
        };
        let local = link.told + Duration::from_millis(u64::from(later));

        link.reading().translate(local) <= link.at_peer(local)
    }

    fn a_call_takes_effect_after_its_sender_has_given_up(
        lead: u32, reading_delay: u16, pause: u16, delay: u16
    ) -> bool {
        let link = Link {
            told: Moment::from_millis(1_000),
            lead: Duration::from_millis(u64::from(lead)),
            reading_delay: Duration::from_millis(u64::from(reading_delay)),
        };
        let called = link.told + link.reading_delay + Duration::from_millis(u64::from(pause));
        let delay = Duration::from_millis(u64::from(delay));

        !link.takes_effect(called, delay) || delay < PATIENCE
    }
}

#[test]
fn a_call_on_a_quick_link_is_dropped() {
    let link = Link {
        told: Moment::from_millis(5_000),
        lead: Duration::from_secs(3_600),
        reading_delay: Duration::from_millis(40),
    };

    for pause in [0, 300, 1_000] {
        let called = link.told + link.reading_delay + Duration::from_millis(pause);
        assert!(link.takes_effect(called, Duration::from_millis(40)));
        assert!(link.takes_effect(called, Duration::from_millis(900)));
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: Target::from("t-1"),
        incarnation: Incarnation(1),
        service: Service::from("pool"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Zone::from("a"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        serial: 1,
        holds: Vec::new(),
        released: Vec::new(),
    }
}

#[test]
fn an_order_of_unknown_age_takes_effect() {
    let zone = || Zone::from("a");
    let calls = [
        (ControlCall::Heartbeat(heartbeat()), true),
        (ControlCall::Read, true),
        (ControlCall::Leave(Target::from("t-1"), None), false),
        (ControlCall::Change(Change::default()), false),
        (ControlCall::ZoneOut(zone()), false),
        (ControlCall::ZoneIn(zone()), false),
    ];

    for (call, expected) in calls {
        let is_timely = call.is_timely(CallDeadline::Unknown, Moment::from_millis(1));
        assert_eq!(is_timely, expected, "{}", call.name());
    }
}
