"""The KV cache of a stand-in replica: prompt parts by model, the oldest forgotten first."""

from collections import OrderedDict


class PromptCache:
    """Holds up to ``limit`` prompt parts."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def use(self, model: str, parts: list[str]) -> float:
        """Return the share of ``parts`` that was cached, and cache them all."""
        hits = sum((model, part) in self._parts for part in parts)
        for part in parts:
            self._parts[(model, part)] = None
            self._parts.move_to_end((model, part))
        while len(self._parts) > self._limit:
            self._parts.popitem(last=False)
        return hits / len(parts) if parts else 0.0

    def forget(self, model: str) -> None:
        """Forget the parts of an unloaded model."""
        for key in [key for key in self._parts if key[0] == model]:
            del self._parts[key]
