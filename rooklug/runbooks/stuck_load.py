"""Runbook: a replica was ordered to load a model but does not finish."""

import json

from rooklug.cli.operator_client import OperatorRequest
from rooklug.runbooks.model import Finding, Parameter, Runbook, Step
from rooklug.runbooks.site import Site

_REPORT = OperatorRequest("GET", "/api/report")
_LOADED = "loaded"


async def _plan(_site: Site, values: dict[str, str]) -> list[Step]:
    replica, address, model = values["replica"], values["address"], values["model"]

    async def was_ordered(site: Site) -> Finding:
        return await _newest_decision(site, replica, model)

    async def is_loaded(site: Site) -> Finding:
        return await _is_loaded(site, address, model)

    return [
        Step(
            title=f"replica {replica} has loaded {model}, or is made to start anew",
            check=was_ordered,
            by_hand=f"restart replica {replica} at {address}; the placer sees a new process and "
            "orders again, or places the model elsewhere when it gave up",
            verify=is_loaded,
            undo="mark the replica as leaving at the platform: the placer goes without it",
            verify_limit_s=120.0,
        )
    ]


async def _newest_decision(site: Site, replica: str, model: str) -> Finding:
    decisions = await site.decisions()
    if decisions.is_error():
        return Finding.failed(f"no decisions: {decisions.error}")
    about = [entry for entry in decisions.ok if _mentions(entry, replica, model)]
    if not about:
        return Finding.failed(f"no kept decision is about {model} on {replica}")
    newest = about[-1]
    return Finding.passed(f"{newest.get('kind')}: {newest.get('summary')} [{newest.get('cause')}]")


def _mentions(decision: dict, replica: str, model: str) -> bool:
    text = json.dumps(decision)
    return replica in text and model in text


async def _is_loaded(site: Site, address: str, model: str) -> Finding:
    answer = await site.call_node(address, _REPORT)
    if answer.is_error():
        return Finding.failed(f"no report: {answer.error}")
    states = {
        entry.get("model"): entry.get("state") for entry in answer.ok.document().get("models", ())
    }
    return Finding(states.get(model) == _LOADED, f"the replica reports {states}")


STUCK_LOAD = Runbook(
    name="stuck-load",
    title="Free a load order that is stuck",
    when="`rooklug ctl decisions` shows a load or give_up for a replica, and the model doesn't "
    "come. Each look asks the replica for a report, which costs.",
    plan=_plan,
    parameters=(
        Parameter("replica", "id of the replica"),
        Parameter("address", "its HTTP address, ip:port"),
        Parameter("model", "name of the model"),
    ),
)
