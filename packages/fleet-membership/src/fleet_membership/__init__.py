"""Who is in the fleet."""

from __future__ import annotations

from gossip_codec import MemberState

from fleet_membership.membership import Membership
from fleet_membership.settings import MembershipSettings
from fleet_membership.view import Link, MemberView, Mode, View

__all__ = ["Link", "MemberState", "MemberView", "Membership", "MembershipSettings", "Mode", "View"]
