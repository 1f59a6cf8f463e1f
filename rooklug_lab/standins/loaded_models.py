"""The models of a stand-in replica: room, load times and the fencing token."""

from typing import Any

import attrs

from rooklug_lab.standins.settings import ReplicaSettings

LOADING = "loading"
LOADED = "loaded"
Token = tuple[int, int]


@attrs.define
class HeldModel:
    """A model in this replica's memory, since ``since_s``."""

    name: str
    state: str
    since_s: float


class LoadedModels:
    """Which models are loaded or loading, within the replica's resource units."""

    def __init__(self, settings: ReplicaSettings) -> None:
        self._settings = settings
        self._held: dict[str, HeldModel] = {}
        self.highest_token: Token = (0, 0)

    def is_loaded(self, model: str) -> bool:
        """Return whether ``model`` can serve."""
        held = self._held.get(model)
        return held is not None and held.state == LOADED

    def loading(self) -> list[str]:
        """Return the models that are being loaded."""
        return [held.name for held in self._held.values() if held.state == LOADING]

    def loaded(self) -> list[str]:
        """Return the models that can serve."""
        return [held.name for held in self._held.values() if held.state == LOADED]

    def holds(self, model: str) -> bool:
        """Return whether ``model`` is loaded or loading."""
        return model in self._held

    def has_room(self, model: str) -> bool:
        """Return whether ``model`` fits beside what is held."""
        profiles = self._settings.models
        used = sum(profiles[name].units for name in self._held)
        return used + profiles[model].units <= self._settings.resource_units + 1e-9

    def admit_token(self, token: Token, fenced: bool) -> bool:
        """Take an order's token; False if it is lower than the highest seen (and ``fenced``)."""
        if token < self.highest_token and fenced:
            return False
        self.highest_token = max(token, self.highest_token)
        return True

    def begin(self, model: str, now: float) -> None:
        """Begin to load."""
        self._held[model] = HeldModel(model, LOADING, now)

    def finish(self, model: str, now: float) -> None:
        """A load is over, unless it was given up meanwhile."""
        if model in self._held:
            self._held[model] = HeldModel(model, LOADED, now)

    def drop(self, model: str) -> None:
        """Unload."""
        self._held.pop(model, None)

    def report(self, now: float) -> list[dict[str, Any]]:
        """Return the models as ``GET /api/report`` shows them."""
        return [
            {"model": held.name, "state": held.state, "age_s": round(now - held.since_s, 3)}
            for held in self._held.values()
        ]
