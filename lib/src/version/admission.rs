//! Admission of targets that announce themselves.

use super::{
    command::{Announcement, Command},
    fleet::{Fleet, TargetPhase},
};
use crate::name::{Incarnation, Service, Target, Zone};
use thiserror::Error;

/// Why an announcement is turned away.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnouncementError {
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
    StaleIncarnation {
        /// The target.
        target: Target,
        /// Life that is known.
        known: Incarnation,
    },
    /// Another life still holds a lease at another address.
    #[error("another life of target `{0}` holds a lease elsewhere; stop it, or wait until it ends")]
    LeaseHeldElsewhere(Target),
    /// It has no slots.
    #[error("target `{0}` announces no slots; announce at least one")]
    NoSlots(Target),
}

/// Command that admits the target, `None` if it is in already.
pub(super) fn admit(
    fleet: &Fleet,
    announcement: &Announcement,
) -> Result<Option<Command>, AnnouncementError> {
    validate_fields(fleet, announcement)?;
    check_incarnation(fleet, announcement)?;
    let old = fleet.targets.get(&announcement.target);
    let same = old.filter(|old| old.info.incarnation == announcement.incarnation);
    match same.map(|old| old.phase) {
        Some(TargetPhase::Serving) => Ok(None),
        Some(TargetPhase::Draining) => Err(AnnouncementError::Leaving(announcement.target.clone())),
        Some(TargetPhase::Lost) | None => Ok(Some(Command::Admit(announcement.clone()))),
    }
}

fn validate_fields(fleet: &Fleet, announcement: &Announcement) -> Result<(), AnnouncementError> {
    if !fleet.services.contains_key(&announcement.service) {
        return Err(AnnouncementError::UnknownService(
            announcement.service.clone(),
        ));
    }
    if !fleet.zones.contains_key(&announcement.zone) {
        return Err(AnnouncementError::UnknownZone(announcement.zone.clone()));
    }
    if announcement.slots == 0 {
        return Err(AnnouncementError::NoSlots(announcement.target.clone()));
    }
    Ok(())
}

/// Whether an older life of the target is in the fleet and not known to be gone.
///
/// Its home may still send to it until the home itself reports it as gone, and what it sends would
/// reach the new life if that has the same address.
pub(super) fn has_older_incarnation(fleet: &Fleet, announcement: &Announcement) -> bool {
    fleet.targets.get(&announcement.target).is_some_and(|old| {
        old.phase != TargetPhase::Lost && old.info.incarnation < announcement.incarnation
    })
}

/// Checks the life against what is known of the target.
///
/// A new life at the address of the old one shows that the old one has ended, since both cannot
/// listen there. At another address the old one may run on, so it is turned away.
fn check_incarnation(fleet: &Fleet, announcement: &Announcement) -> Result<(), AnnouncementError> {
    let target = announcement.target.clone();
    if fleet.withdrawn.contains(&target) {
        return Err(AnnouncementError::Withdrawn(target));
    }
    let departed = fleet.departed.get(&target);
    if departed.is_some_and(|d| announcement.incarnation <= d.incarnation) {
        return Err(AnnouncementError::Leaving(target));
    }
    let Some(old) = fleet.targets.get(&target) else {
        return Ok(());
    };
    let known = old.info.incarnation;
    if announcement.incarnation < known {
        return Err(AnnouncementError::StaleIncarnation { target, known });
    }
    let elsewhere = old.info.address != announcement.address;
    if elsewhere && old.phase != TargetPhase::Lost {
        return Err(AnnouncementError::LeaseHeldElsewhere(target));
    }
    Ok(())
}
