"""Runbook: recover after a loss of the cores' quorum from the copy of a single core."""

import json

import attrs

from rooklug.api.answers import VERSION_HEADER
from rooklug.cli.operator_client import OperatorAnswer, OperatorRequest
from rooklug.cli.operator_requests import (
    LOCAL_CONFIGURATION,
    NEWEST_CONFIGURATION,
    put_configuration,
)
from rooklug.runbooks.model import Finding, Parameter, Runbook, Step
from rooklug.runbooks.site import PHASE_PRIMARY, Site

_STATUS = OperatorRequest("GET", "/v1/core/status")
_RECOVER_PATH = "/v1/core/recover"
_PLANNED = "plan"
_RECOVERED = "recovered"
_MAJORITY = 2
_IN_SYNC = "backup"


@attrs.frozen
class CoreState:
    """A core's status; ``committed`` is the sequence of its last entry known as committed."""

    address: str
    node_id: str
    phase: str
    committed: int
    in_sync: tuple[str, ...]


@attrs.frozen
class RecoverPlan:
    """A core's recovery plan, with the changes that may be lost by it."""

    address: str
    text: str
    may_be_lost: tuple[str, ...]

    def in_words(self) -> str:
        """Return the plan and its losses as text for the operator."""
        losses = "; ".join(self.may_be_lost) or "nothing is named"
        return f"{self.text}. MAY BE LOST: {losses}"


class _Recovery:
    """State shared by the steps: ``confirm`` sends the plan that the operator has seen."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._plan: RecoverPlan | None = None
        self._kept: OperatorAnswer | None = None
        self._nobody_holds_any = False

    async def enough_answer(self, site: Site) -> Finding:
        """Check that a majority of the cores answers, or that there is a primary."""
        states, unreachable = await self._survey(site)
        primary = _primary(states)
        if primary is not None:
            return Finding.passed(f"primary {primary.node_id} is at work")
        found = [f"{state.node_id} {state.phase}" for state in states]
        text = (
            f"answering: {', '.join(found) or 'none'}; silent: {', '.join(unreachable) or 'none'}"
        )
        return Finding(len(states) >= _MAJORITY, text)

    async def has_primary(self, site: Site) -> Finding:
        """Check that a core is primary."""
        primary = _primary((await self._survey(site))[0])
        if primary is None:
            return Finding.failed("no core is primary")
        return Finding.passed(f"core {primary.node_id} is primary")

    async def request_plan(self, site: Site) -> Finding:
        """Request a recovery plan from the cores, best copy first; this changes nothing."""
        self._plan = None
        refusals = []
        states, _unreachable = await self._survey(site)
        for state in sorted(states, key=_recovery_preference):
            answer = await site.call_node(state.address, _recover_request(""))
            document = answer.ok.document() if answer.is_ok() else {}
            if document.get("outcome") == _PLANNED:
                self._plan = _read_plan(state.address, document)
                return Finding.passed(self._plan.in_words())
            reason = document.get("message") if answer.is_ok() else answer.error
            refusals.append(f"{state.node_id}: {reason}")
        return Finding.failed(f"no core has a plan. {'; '.join(refusals) or 'none answers'}")

    async def confirm(self, site: Site) -> Finding:
        """Confirm the plan that ``request_plan`` printed; the core rejects an outdated one."""
        assert self._plan is not None
        answer = await site.call_node(self._plan.address, _recover_request(self._plan.text))
        if answer.is_error():
            return Finding.failed(f"no confirmation, see the cores' status: {answer.error}")
        document = answer.ok.document()
        if document.get("outcome") == _PLANNED:
            return Finding.failed("the cores have changed meanwhile, nothing is done: run it again")
        text = f"{document.get('outcome')}: {document.get('message')}"
        return Finding(document.get("outcome") == _RECOVERED, text)

    async def all_in_sync(self, site: Site) -> Finding:
        """Check that every core answers and is in sync with the primary."""
        states, unreachable = await self._survey(site)
        primary = _primary(states)
        if primary is None:
            return Finding.failed("no core is primary")
        text = f"in sync: {', '.join(primary.in_sync)}; silent: {', '.join(unreachable) or 'none'}"
        is_complete = not unreachable and {state.node_id for state in states} <= set(
            primary.in_sync
        )
        return Finding(is_complete, text)

    async def find_configuration(self, site: Site) -> Finding:
        """Look for the newest configuration that a front still holds, if the cores have none."""
        self._kept = None
        newest = await site.order(NEWEST_CONFIGURATION)
        if newest.is_ok():
            return Finding.passed(f"the cores hold version {_version(newest.ok)}")
        kept = await site.ask_each_front(LOCAL_CONFIGURATION)
        self._kept = max(kept, key=_version, default=None)
        self._nobody_holds_any = self._kept is None
        if self._kept is None:
            return Finding.passed("neither the cores nor the fronts of --node hold any")
        text = f"the cores hold none; front {self._kept.node} serves under {_version(self._kept)}"
        return Finding.passed(f"{text}, which will be put again as it is")

    async def put_kept_configuration(self, site: Site) -> Finding:
        """Put the configuration that ``find_configuration`` has found at a front, if any."""
        if self._kept is None:
            return Finding.passed("nothing to put")
        answer = await site.order(put_configuration(_version(self._kept), self._kept.body))
        if answer.is_error():
            return Finding.failed(f"not acknowledged: {answer.error}")
        return Finding.passed(f"version {_version(self._kept)} is acknowledged")

    async def has_configuration(self, site: Site) -> Finding:
        """Check that the cores hold the configuration, unless nobody has any."""
        newest = await site.order(NEWEST_CONFIGURATION)
        if newest.is_ok():
            return Finding.passed(f"the cores hold version {_version(newest.ok)}")
        return Finding(self._nobody_holds_any, "the cores hold no configuration")

    async def _survey(self, site: Site) -> tuple[list[CoreState], list[str]]:
        """Return the states of the cores that answer and the addresses of the others."""
        states, unreachable = [], []
        for address in self._addresses:
            answer = await site.call_node(address, _STATUS)
            if answer.is_ok():
                states.append(_read_state(address, answer.ok.document()))
            else:
                unreachable.append(address)
        return states, unreachable


def _version(answer: OperatorAnswer) -> int:
    """Return the version of a configuration that a front has sent."""
    return int(answer.headers.get(VERSION_HEADER, "0"))


def _recover_request(plan: str) -> OperatorRequest:
    return OperatorRequest("POST", _RECOVER_PATH, json.dumps({"plan": plan}).encode())


def _read_state(address: str, document: dict) -> CoreState:
    return CoreState(
        address=address,
        node_id=document.get("node_id") or address,
        phase=document.get("phase") or "unknown",
        committed=document.get("committed_sequence") or 0,
        in_sync=tuple(document.get("in_sync") or ()),
    )


def _read_plan(address: str, document: dict) -> RecoverPlan:
    losses = tuple(document.get("may_be_lost") or ())
    return RecoverPlan(address, document.get("plan") or "", losses)


def _primary(states: list[CoreState]) -> CoreState | None:
    return next((state for state in states if state.phase == PHASE_PRIMARY), None)


def _recovery_preference(state: CoreState) -> tuple[bool, int, str]:
    """Sort key: copies that were in sync first, then by length; the cores check this too."""
    return (state.phase != _IN_SYNC, -state.committed, state.node_id)


async def _plan(_site: Site, values: dict[str, str]) -> list[Step]:
    addresses = tuple(dict.fromkeys(address.strip() for address in values["cores"].split(",")))
    recovery = _Recovery(addresses)
    return [
        Step(
            title="two cores answer",
            by_hand="start every core whose machine and disk can be had, with its own data "
            "folder; only then, if there is just one, one more on an empty folder",
            verify=recovery.enough_answer,
            undo="nothing was done to the cores' data",
            verify_limit_s=600.0,
        ),
        Step(
            title="the core with the best copy goes on from it",
            check=recovery.request_plan,
            act=recovery.confirm,
            verify=recovery.has_primary,
            undo="there is no way back once it was taken: what the plan names as lost is only "
            "in the data folders of the cores left out; keep those aside",
            verify_limit_s=60.0,
        ),
        Step(
            title="every core is in sync again",
            by_hand="start each core that is away on an EMPTY data folder, keep the old one "
            "aside; then compare `rooklug ctl get` with the configuration you sent last",
            verify=recovery.all_in_sync,
            undo="stop the core again; those in sync go on",
            verify_limit_s=600.0,
        ),
        Step(
            title="the cores hold a configuration",
            check=recovery.find_configuration,
            act=recovery.put_kept_configuration,
            verify=recovery.has_configuration,
            undo="put the configuration that you sent last with `rooklug ctl apply`",
        ),
    ]


RECOVER_CORES = Runbook(
    name="recover-cores",
    title="Go on from one copy after the quorum is lost",
    when="No core is primary and none becomes it by itself: two disks are lost, all that were in "
    "sync, or all; then the configuration that a front of --node still holds is put again. It may "
    "lose acknowledged changes, and the check of its second step says which: read that before you "
    "confirm, and don't run it with --yes.",
    plan=_plan,
    parameters=(Parameter("cores", "HTTP addresses of all cores, ip:port,ip:port,ip:port"),),
)
