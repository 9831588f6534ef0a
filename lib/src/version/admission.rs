//! Admission of targets that announce themselves.

use super::{
    command::{Announcement, Command},
    fleet::{Fleet, TargetPhase},
};
use crate::name::{Incarnation, Service, Target, Zone};
use thiserror::Error;

/// Why an announcement is turned away.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejected {
    /// No note added the service.
    #[error("service `{0}` is unknown; add it by a release note")]
    UnknownService(Service),
    /// No note added the zone.
    #[error("zone `{0}` is unknown; add it by a release note")]
    UnknownZone(Zone),
    /// Operators withdrew the target.
    #[error("target `{0}` is withdrawn; add it again by a release note")]
    Withdrawn(Target),
    /// This life of the target asked to leave.
    #[error("this life of target `{0}` is leaving; restart it under a higher incarnation")]
    Leaving(Target),
    /// A later life of the target is known.
    #[error("incarnation {known} of target `{target}` is known; announce a higher one")]
    OldIncarnation {
        /// The target.
        target: Target,
        /// Life that is known.
        known: Incarnation,
    },
    /// Another life still holds a lease at another address.
    #[error("another life of target `{0}` holds a lease elsewhere; stop it, or wait until it ends")]
    StillAlive(Target),
    /// It has no slots.
    #[error("target `{0}` announces no slots; announce at least one")]
    NoSlots(Target),
}

/// Command that admits the target, `None` if it is in already.
pub(super) fn admit(fleet: &Fleet, info: &Announcement) -> Result<Option<Command>, Rejected> {
    check_known(fleet, info)?;
    check_life(fleet, info)?;
    let old = fleet.targets.get(&info.target);
    let same = old.filter(|old| old.info.incarnation == info.incarnation);
    match same.map(|old| old.phase) {
        Some(TargetPhase::Serving) => Ok(None),
        Some(TargetPhase::Draining) => Err(Rejected::Leaving(info.target.clone())),
        Some(TargetPhase::Lost) | None => Ok(Some(Command::Admit(info.clone()))),
    }
}

fn check_known(fleet: &Fleet, info: &Announcement) -> Result<(), Rejected> {
    if !fleet.services.contains_key(&info.service) {
        return Err(Rejected::UnknownService(info.service.clone()));
    }
    if !fleet.zones.contains_key(&info.zone) {
        return Err(Rejected::UnknownZone(info.zone.clone()));
    }
    if info.slots == 0 {
        return Err(Rejected::NoSlots(info.target.clone()));
    }
    Ok(())
}

/// Whether an older life of the target is in the fleet and not known to be gone.
///
/// Its home may still send to it until the home itself reports it as gone, and what it sends would
/// reach the new life if that has the same address.
pub(super) fn has_old_life(fleet: &Fleet, info: &Announcement) -> bool {
    fleet.targets.get(&info.target).is_some_and(|old| {
        old.phase != TargetPhase::Lost && old.info.incarnation < info.incarnation
    })
}

/// Checks the life against what is known of the target.
///
/// A new life at the address of the old one shows that the old one has ended, since both cannot
/// listen there. At another address the old one may run on, so it is turned away.
fn check_life(fleet: &Fleet, info: &Announcement) -> Result<(), Rejected> {
    let target = info.target.clone();
    if fleet.withdrawn.contains(&target) {
        return Err(Rejected::Withdrawn(target));
    }
    let left = fleet.departed.get(&target);
    if left.is_some_and(|d| info.incarnation <= d.incarnation) {
        return Err(Rejected::Leaving(target));
    }
    let Some(old) = fleet.targets.get(&target) else {
        return Ok(());
    };
    let known = old.info.incarnation;
    if info.incarnation < known {
        return Err(Rejected::OldIncarnation { target, known });
    }
    let elsewhere = old.info.address != info.address;
    if elsewhere && old.phase != TargetPhase::Lost {
        return Err(Rejected::StillAlive(target));
    }
    Ok(())
}
