"""Elections: when a replica campaigns and for which candidate it votes."""

from __future__ import annotations

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import message as message_lib


class Election:
    """The election timeout of one replica, its votes and its campaigns.

    A replica that received a message from a leader less than
    `Limits.election_s` ago grants no vote, and a candidate first asks whether
    it would win (pre-vote). So a replica that was partitioned or frozen does
    not depose a healthy leader when it returns.
    """

    def __init__(self, context: context_lib.Context) -> None:
        self._context = context
        self._votes: set[identity_lib.Identity] = set()
        self._in_pre_vote = False
        self._deadline = 0.0
        self.reset_timeout()

    def reset_timeout(self) -> None:
        """Restarts the election timeout, with a new random length."""
        context = self._context
        self._in_pre_vote = False
        self._deadline = context.now
        if context.membership.voters != (context.identity,):
            spread = 1 + context.random.random()
            self._deadline += context.limits.election_s * spread

    def tick(self) -> None:
        """Starts a pre-vote once the election timeout has passed."""
        context = self._context
        if context.now < self._deadline:
            return
        self.reset_timeout()
        if context.is_voter:
            context.leader = None
            context.role = context_lib.Role.FOLLOWER
            self._start_pre_vote()

    def campaign(self, *, forced: bool = False) -> None:
        """Requests votes in a new term.

        Args:
            forced: Whether the leader requested this election.
        """
        context = self._context
        self.reset_timeout()
        context.role = context_lib.Role.CANDIDATE
        context.leader = None
        context.save_vote(context.term + 1, context.identity)
        self._votes = set()
        own = message_lib.VoteReply(context.term, True, False)
        context.send_after_sync(context.identity, own)
        self._request_votes(context.term, pre_vote=False, forced=forced)

    def handle_request(
        self, sender: identity_lib.Identity, request: message_lib.VoteRequest
    ) -> None:
        """Grants or refuses a vote."""
        context = self._context
        granted = self._may_grant(sender, request)
        term = request.term if granted else context.term
        if granted and not request.pre_vote:
            if context.vote.candidate is None:
                context.save_vote(term, sender)
            self.reset_timeout()
        reply = message_lib.VoteReply(term, granted, request.pre_vote)
        context.send_after_sync(sender, reply)

    def handle_reply(
        self, sender: identity_lib.Identity, reply: message_lib.VoteReply
    ) -> bool:
        """Counts a vote and returns whether it wins the election.

        A won pre-vote starts the campaign.
        """
        context = self._context
        if not reply.granted or not self._expects(reply):
            return False
        self._votes.add(sender)
        votes = self._votes.intersection(context.membership.voters)
        if len(votes) < context.membership.quorum:
            return False
        if reply.pre_vote:
            self.campaign()
            return False
        return True

    def _expects(self, reply: message_lib.VoteReply) -> bool:
        context = self._context
        if reply.pre_vote:
            return self._in_pre_vote and reply.term == context.term + 1
        candidate = context.role is context_lib.Role.CANDIDATE
        return candidate and reply.term == context.term

    def _start_pre_vote(self) -> None:
        context = self._context
        self._in_pre_vote = True
        self._votes = set()
        own = message_lib.VoteReply(context.term + 1, True, True)
        context.send_after_sync(context.identity, own)
        self._request_votes(context.term + 1, pre_vote=True)

    def _request_votes(
        self, term: int, *, pre_vote: bool, forced: bool = False
    ) -> None:
        context = self._context
        log = context.log
        request = message_lib.VoteRequest(
            term, log.last_index, log.last_term, pre_vote, forced
        )
        for voter in context.membership.voters:
            if voter != context.identity:
                context.send_after_sync(voter, request)

    def _may_grant(
        self, sender: identity_lib.Identity, request: message_lib.VoteRequest
    ) -> bool:
        context = self._context
        if context.snapshot is None or not self._is_up_to_date(request):
            return False
        if request.pre_vote:
            return request.term > context.term
        if request.term < context.term:
            return False
        if request.term > context.term:
            context.follow(request.term)
        return context.vote.candidate in (None, sender)

    def _is_up_to_date(self, request: message_lib.VoteRequest) -> bool:
        log = self._context.log
        last = (log.last_term, log.last_index)
        return (request.last_term, request.last_index) >= last
