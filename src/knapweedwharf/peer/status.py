"""Configuration, store and peers in the status for operators."""

from __future__ import annotations

import typing

from knapweedwharf.adapters import observed_store
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.peer import membership as membership_module


def configuration(
    feed: feed_module.Feed, now_s: float
) -> dict[str, typing.Any]:
    """Return the revision in force and whether it is confirmed.

    ``revision_age_s`` is the time since the store last confirmed it.
    """
    confirmed_s = now_s - feed.confirmed_at_s
    return {
        "revision": feed.current.revision,
        "configuration_known": feed.known,
        "revision_confirmed": feed.confirmed,
        "revision_age_s": round(confirmed_s, 1) if feed.confirmed else None,
    }


def store_and_traffic(
    store: observed_store.ObservedStore,
    membership: membership_module.Membership,
    now_s: float,
) -> dict[str, typing.Any]:
    """Return reachability of the store and the control traffic."""
    answered = store.answered_at_s
    return {
        "store_reachable": store.reachable,
        "store_answered_s_ago": (
            round(now_s - answered, 1) if answered else None
        ),
        "store_calls": dict(sorted(store.counts.items())),
        "peers_reach_store": membership.peers_reach_store(),
        "control_sent_bytes": membership.traffic.sent_bytes,
        "control_received_bytes": membership.traffic.received_bytes,
    }


def peers(
    membership: membership_module.Membership, now_s: float
) -> list[dict[str, typing.Any]]:
    """Return the state of each peer as this node sees it."""
    live = {peer.node_id for peer in membership.live_peers()}
    return [
        {
            "node_id": peer.node_id,
            "data_centre": peer.data_centre,
            "live": peer.node_id in live,
            "listed": peer.listed,
            "revision": peer.revision,
            "draining": peer.draining,
            "store_reachable": peer.store_reachable,
            "heard_s_ago": (
                round(now_s - peer.last_heartbeat_at_s, 1)
                if peer.last_heartbeat_at_s
                else None
            ),
        }
        for _node_id, peer in sorted(membership.peers.items())
    ]
