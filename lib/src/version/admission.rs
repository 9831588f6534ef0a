//! Admission of targets that announce themselves in a configured fleet.
//!
//! Decides from the fleet state and the announcement whether the target may join: its service and
//! zone have to be known, and no other incarnation of it may hold a lease at another address.

use super::{
    command::{Announcement, Command},
    fleet::{Fleet, TargetPhase},
};
use crate::name::{Incarnation, Service, Target, Zone};
use thiserror::Error;

/// Why an announcement is rejected, with the remedy in the message.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// No release note added the service.
    #[error("service `{0}` is unknown; add it with a release note")]
    UnknownService(Service),
    /// No release note added the zone.
    #[error("zone `{0}` is unknown; add it with a release note")]
    UnknownZone(Zone),
    /// An operator withdrew the target.
    #[error("target `{0}` is withdrawn; add it again with a release note")]
    Withdrawn(Target),
    /// This incarnation of the target asked to leave.
    #[error("this incarnation of target `{0}` is leaving; restart the target with a higher one")]
    Leaving(Target),
    /// A later incarnation of the target is known.
    #[error("incarnation {known} of target `{target}` is already known; announce a higher one")]
    StaleIncarnation {
        /// Name of the target.
        target: Target,
        /// Highest incarnation that is known.
        known: Incarnation,
    },
    /// Another incarnation still holds a lease at another address.
    #[error(
        "another incarnation of target `{0}` holds a lease at another address; \
         stop it, or wait until its lease expires"
    )]
    LeaseHeldElsewhere(Target),
    /// The target announces a concurrency limit of zero.
    #[error("target `{0}` announces 0 slots; announce at least 1")]
    NoSlots(Target),
}

/// Returns the command that admits the target, or `None` if it serves already.
pub(super) fn admit(
    fleet: &Fleet,
    announcement: &Announcement,
) -> Result<Option<Command>, AnnouncementError> {
    validate_fields(fleet, announcement)?;
    check_incarnation(fleet, announcement)?;
    let old = fleet.targets.get(&announcement.target);
    let same = old.filter(|old| old.announcement.incarnation == announcement.incarnation);
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

/// Whether an older incarnation of the target is in the fleet and not known to be gone.
///
/// Its home may send to it until the home itself reports it as gone, and such a request would reach
/// the new incarnation if that has the same address.
pub(super) fn has_older_incarnation(fleet: &Fleet, announcement: &Announcement) -> bool {
    fleet.targets.get(&announcement.target).is_some_and(|old| {
        old.phase != TargetPhase::Lost && old.announcement.incarnation < announcement.incarnation
    })
}

/// Checks the announced incarnation against the known ones of the target.
///
/// A new incarnation at the same address shows that the old one has ended, since both cannot listen
/// there. At another address the old one may still run, so the new one is rejected.
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
    let known = old.announcement.incarnation;
    if announcement.incarnation < known {
        return Err(AnnouncementError::StaleIncarnation { target, known });
    }
    let elsewhere = old.announcement.address != announcement.address;
    if elsewhere && old.phase != TargetPhase::Lost {
        return Err(AnnouncementError::LeaseHeldElsewhere(target));
    }
    Ok(())
}
