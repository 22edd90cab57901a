"""Variants of the job protocol that each leave out one rule.

`test_jobs_faults` checks that random walks or scenarios detect every variant.
"""

from __future__ import annotations

import math

from skylarkcleat.jobs import completion
from skylarkcleat.jobs import execution
from skylarkcleat.jobs import handlers
from skylarkcleat.jobs import keeper
from skylarkcleat.jobs import keeper_shard_state
from skylarkcleat.jobs import ledger
from skylarkcleat.jobs import ownership
from skylarkcleat.jobs import revocation
from skylarkcleat.jobs import shard_transfer
from skylarkcleat.jobs import takeover
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import fencing


def start_without_claim(patch):
    begin = ownership.begin

    def begin_at_once(ctx, job):
        begin(ctx, job)
        job.claim = job.proposal
        job.known_epoch = 1
        execution.run_remaining(ctx, job)

    patch.setattr(ownership, "begin", begin_at_once)


def place_outside_cohort(patch):
    place = execution.place

    def place_anywhere(ctx, job, task, agent):
        if job.claim is not None:
            cohort = (*job.claim.cohort, agent)
            job.claim = job.claim._replace(cohort=cohort)
        return place(ctx, job, task, agent)

    patch.setattr(execution, "place", place_anywhere)


def take_over_without_fence(patch):
    def begin(ctx, job):
        job.previous_claim = None
        execution.run_remaining(ctx, job)

    patch.setattr(takeover, "begin", begin)


def assume_lost_agents_started_nothing(patch):
    account = takeover._apply_reports

    def apply_without_loss(ctx, job):
        job.unaccounted = set()
        account(ctx, job)

    patch.setattr(takeover, "_apply_reports", apply_without_loss)


def retry_after_agent_loss(patch):
    def handle_agent_loss(ctx, job, agent):
        for slot in job.slots:
            if slot.agent == agent:
                slot.reset()
        execution.request_placement(ctx, job)

    patch.setattr(execution, "handle_agent_loss", handle_agent_loss)


def refuse_without_tombstone(patch):
    refuse = ledger.Ledger.refuse

    def refuse_without_record(self, attempt, failure):
        entry = refuse(self, attempt, failure)
        del self.store.find_job(attempt.job).tasks[attempt.task]
        return entry

    patch.setattr(ledger.Ledger, "refuse", refuse_without_record)


def revoke_only_received_attempts(patch):
    revoke_task = revocation.revoke_task

    def revoke_known(store, last, agent):
        known = store.find_task(last.job, last.task) is not None
        return not known or revoke_task(store, last, agent)

    patch.setattr(revocation, "revoke_task", revoke_known)


def start_revoked_attempts(patch):
    patch.setattr(ledger.Ledger, "start", lambda self, attempt: None)


def accept_reports_of_earlier_epochs(patch):
    handle_fence_report = takeover.handle_fence_report

    def handle_any(ctx, job, report):
        if job.claim is not None:
            report = report._replace(epoch=job.claim.epoch)
        handle_fence_report(ctx, job, report)

    patch.setitem(handlers._HANDLERS, fencing.FenceReport, handle_any)


def skip_collection(patch):
    def begin(self, state):
        return self._adopt(state, {}) if self._is_primary(state) else []

    patch.setattr(shard_transfer.ShardTransfer, "begin", begin)


def merge_any_copies(patch):
    def merge(self, state):
        whole = [copy for copy in state.copies.values() if copy.is_complete]
        before = state.config.epoch - 1
        claims = keeper_shard_state.merge_copies(whole, before)
        return self._adopt(state, claims)

    patch.setattr(shard_transfer.ShardTransfer, "_merge_copies", merge)


def merge_uninstalled_copies(patch):
    def merge(copies, installed):
        claims = [claim for copy in copies for claim in copy.claims]
        claims.sort(key=lambda claim: claim.epoch)
        return {claim.job: claim for claim in claims}

    patch.setattr(keeper_shard_state, "merge_copies", merge)


def decide_without_majority(patch):
    patch.setattr(keeper_shard_state.ShardState, "majority", 1)


def ignore_horizon(patch):
    check = keeper.Keeper._check_claim

    def check_without(self, state, claim):
        config = state.config
        state.config = config._replace(horizon_ms=0)
        failure = check(self, state, claim)
        state.config = config
        return failure

    patch.setattr(keeper.Keeper, "_check_claim", check_without)


def ignore_lease(patch):
    def extend(self, until):
        self._lease_until = math.inf

    patch.setattr(keeper.Keeper, "extend_lease", extend)


def report_not_run_without_closing(patch):
    def close(ctx, job):
        outcome = failure_lib.Outcome.NOT_RUN
        ctx.finish(job, job.failure._replace(outcome=outcome), False)

    patch.setattr(completion, "close", close)


FAULTS = (
    start_without_claim,
    place_outside_cohort,
    take_over_without_fence,
    assume_lost_agents_started_nothing,
    retry_after_agent_loss,
    refuse_without_tombstone,
    revoke_only_received_attempts,
    start_revoked_attempts,
    accept_reports_of_earlier_epochs,
    skip_collection,
    merge_any_copies,
    merge_uninstalled_copies,
    decide_without_majority,
    ignore_horizon,
    ignore_lease,
    report_not_run_without_closing,
)
