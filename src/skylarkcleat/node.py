"""What every role opens first: its log, its account and its sessions."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import logs
from skylarkcleat import mailbox as mailbox_lib
from skylarkcleat import network as network_lib
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.settings import sections
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import messages
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper as stamper_lib


class Node(t.NamedTuple):
    """One incarnation of a process, with its sockets open.

    Attributes:
        ref: Its name and incarnation.
        zone: Its availability zone.
        address: The `tcp://ip:port` that other members connect to.
        mailbox: What arrives for the role's owning task.
        log: Its log.
        account: Its events and incidents.
        network: Its sessions with other members.
    """

    ref: claiming.MemberRef
    zone: str
    address: str
    mailbox: asyncio.Queue
    log: logs.Log
    account: account_lib.Account
    network: network_lib.Network

    def create_member(
        self, role: member_lib.Role, **details: t.Any
    ) -> member_lib.Member:
        """Returns how the process announces itself.

        Args:
            role: What it does.
            **details: More attributes of the member.
        """
        return member_lib.Member(
            name=self.ref.name,
            incarnation=self.ref.incarnation,
            role=role,
            zone=self.zone,
            address=self.address,
            **details,
        )


def open_log(
    stack: contextlib.AsyncExitStack, name: str, settings: sections.LogSettings
) -> logs.Log:
    """Opens a process's log.

    Args:
        stack: Closes it.
        name: The process's name, set in each line.
        settings: Where the log goes.

    Raises:
        OSError: The file cannot be opened.
    """
    log = logs.create_log(settings.level, settings.file, name)
    return stack.enter_context(log)


async def open_node(
    stack: contextlib.AsyncExitStack,
    name: str,
    zone: str,
    peer: sections.PeerSettings,
    log: logs.Log,
) -> Node:
    """Opens a new incarnation of a process.

    Args:
        stack: Closes what is opened.
        name: The process's name, the same over restarts.
        zone: Its availability zone.
        peer: Where other members reach it.
        log: Its open log.

    Raises:
        OSError: The address cannot be bound.
    """
    ref = claiming.MemberRef(name, clock_lib.read_wall_ms())
    account = account_lib.Account(name, zone)
    mailbox: asyncio.Queue = asyncio.Queue()
    hub = await stack.enter_async_context(
        hub_lib.create_hub(
            session_lib.Endpoint(*ref),
            peer.address,
            messages.MESSAGES,
            stamper_lib.AccountStamper(account),
            mailbox,
        )
    )
    network = network_lib.Network(hub)
    return Node(ref, zone, hub.address, mailbox, log, account, network)


async def subscribe(
    stack: contextlib.AsyncExitStack,
    node: Node,
    addresses: t.Sequence[str],
    member: member_lib.Member,
) -> subscription_lib.Subscription:
    """Opens a subscription whose changes go to the node's mailbox.

    Args:
        stack: Closes it.
        node: The process.
        addresses: Where control replicas take subscribers.
        member: How the process announces itself.
    """

    def put(changes: tuple) -> None:
        node.mailbox.put_nowait(mailbox_lib.DirectoryChanged(changes))

    return await stack.enter_async_context(
        subscription_lib.create_subscription(addresses, member, put)
    )
