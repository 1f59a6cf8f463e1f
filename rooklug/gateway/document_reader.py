"""Reads the gateway's configuration from a JSON document.

Shape: ``{"version", "routes": [...], "services": [...], "limits": {...}}``. Unknown fields stay
in the document and are ignored here. Times in the document are milliseconds.
"""

from collections import Counter
from typing import Any

from expression import Error, Ok, Result

from rooklug.config.json_text import parse_json
from rooklug.config.problems import Problem, Problems
from rooklug.gateway.document import (
    Engine,
    Execution,
    GatewayConfiguration,
    Route,
    Service,
    ServiceShare,
)
from rooklug.model.constants import MAX_SAFE_INTEGER
from rooklug.model.input_values import MAX_INT32, finite_number, whole_number

DEFAULT_HEALTH_PATH = "/health"
_MS_PER_S = 1000.0


def read_gateway_configuration(document: bytes) -> Result[GatewayConfiguration, Problems]:
    """Parse and validate a document; the error lists every problem with its path."""
    parsed = parse_json(document)
    if parsed.is_error():
        return Error(parsed.error)
    reader = _Reader()
    configuration = reader.configuration(parsed.ok)
    if configuration is None or reader.problems:
        return Error(tuple(reader.problems))
    return Ok(configuration)


class _Reader:
    """Reads a document and collects all problems instead of stopping at the first."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def configuration(self, value: Any) -> GatewayConfiguration | None:
        if not isinstance(value, dict):
            self._problem("$", "must be an object")
            return None
        version = self._integer(value, "version", "$", minimum=1, largest=MAX_SAFE_INTEGER)
        services = [self._service(*item) for item in self._items(value, "services")]
        routes = [self._route(*item) for item in self._items(value, "routes")]
        if not isinstance(value.get("limits", {}), dict):
            self._problem("$.limits", "must be an object")
        known = {service.name: service for service in services if service}
        valid = [route for route in routes if route]
        self._check_routes(valid, known)
        by_host: dict[str, dict[str, Route]] = {}
        for route in valid:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return GatewayConfiguration(version, by_host, known)

    def _check_routes(self, routes: list[Route], services: dict[str, Service]) -> None:
        occurrences = Counter((route.host, route.prefix) for route in routes)
        for route in routes:
            path = f"$.routes[{route.name}]"
            for share in route.shares:
                if share.service not in services:
                    self._problem(path, f"unknown service {share.service!r}")
            if occurrences[route.host, route.prefix] > 1:
                self._problem(path, "another route has this host and prefix")

    def _items(self, value: dict, field: str) -> list[tuple[dict, str]]:
        items = value.get(field, [])
        if not isinstance(items, list):
            self._problem(f"$.{field}", "must be a list")
            return []
        found = []
        for index, item in enumerate(items):
            path = f"$.{field}[{index}]"
            if not isinstance(item, dict) or not isinstance(item.get("name"), str):
                self._problem(path, "must be an object with a name")
                continue
            found.append((item, path))
        occurrences = Counter(item["name"] for item, _ in found)
        for item, path in found:
            if occurrences[item["name"]] > 1:
                self._problem(path, f"the name {item['name']!r} stands twice")
        return found

    def _service(self, item: dict, path: str) -> Service | None:
        engine = item.get("engine")
        if engine is not None and not isinstance(engine, dict):
            self._problem(f"{path}.engine", "must be an object")
            engine = None
        return Service(
            name=item["name"],
            health_path=self._text(item, "health_path", path) or DEFAULT_HEALTH_PATH,
            max_connections=self._integer(item, "max_connections", path, default=1),
            slow_start_rate_per_s=self._number(item, "cold_requests_per_s", path),
            engine=self._engine(engine, path) if engine is not None else None,
        )

    def _engine(self, item: dict, path: str) -> Engine:
        path = f"{path}.engine"
        return Engine(
            slots=self._integer(item, "slots", path, default=1),
            key_value_tokens=self._integer(
                item, "key_value_tokens", path, default=0, largest=MAX_SAFE_INTEGER
            ),
        )

    def _route(self, item: dict, path: str) -> Route | None:
        host, prefix = item.get("host"), item.get("prefix")
        if not isinstance(host, str) or not isinstance(prefix, str):
            self._problem(path, "needs a host and a prefix")
            return None
        execution = self._execution(item, path)
        timeout_ms = self._number(item, "timeout_ms", path)
        if timeout_ms <= 0:
            self._problem(path, "timeout_ms must be above 0")
        return Route(
            name=item["name"],
            host=host.lower(),
            prefix=prefix,
            execution=execution,
            timeout_s=timeout_ms / _MS_PER_S,
            latency_objective_s=self._number(item, "latency_objective_ms", path) / _MS_PER_S,
            priority=self._integer(item, "priority", path, default=0),
            shares=self._shares(item, path),
            max_replicas=self._integer(item, "max_replicas", path, default=1),
            affinity=self._flag(item, "affinity", path),
            resumable=self._flag(item, "resumable", path),
            gap_objective_s=self._number(item, "gap_objective_ms", path) / _MS_PER_S,
            home_regions=self._texts(item, "home_regions", path),
        )

    def _execution(self, item: dict, path: str) -> Execution:
        try:
            return Execution(item.get("execution", Execution.AT_MOST_ONCE.value))
        except ValueError:
            self._problem(path, f"unknown execution {item.get('execution')!r}")
            return Execution.AT_MOST_ONCE

    def _shares(self, item: dict, path: str) -> tuple[ServiceShare, ...]:
        listed = item.get("service_weights")
        if not listed:
            service = item.get("service")
            if not isinstance(service, str):
                self._problem(path, "needs a service or service_weights")
                return ()
            return (ServiceShare(service, 1.0),)
        if not isinstance(listed, list) or not all(isinstance(entry, dict) for entry in listed):
            self._problem(path, "service_weights must be a list of objects")
            return ()
        if not all(isinstance(entry.get("service"), str) for entry in listed):
            self._problem(path, "each of service_weights needs a service")
            return ()
        shares = tuple(
            ServiceShare(entry["service"], self._number(entry, "weight", path)) for entry in listed
        )
        if sum(share.weight for share in shares) <= 0:
            self._problem(path, "the weights must add up to more than 0")
        return shares

    def _integer(
        self,
        item: dict,
        field: str,
        path: str,
        default: int | None = None,
        minimum: int = 0,
        largest: int = MAX_INT32,
    ) -> int:
        value = whole_number(item.get(field, default), minimum, largest)
        if value is None:
            self._problem(f"{path}.{field}", f"must be a whole number from {minimum} to {largest}")
            return minimum
        return value

    def _number(self, item: dict, field: str, path: str) -> float:
        value = item.get(field)
        number = 0.0 if value is None else finite_number(value)
        if number is None:
            self._problem(f"{path}.{field}", f"must be a number from 0 to {MAX_SAFE_INTEGER}")
            return 0.0
        return number

    def _flag(self, item: dict, field: str, path: str) -> bool:
        value = item.get(field)
        if value is not None and not isinstance(value, bool):
            self._problem(f"{path}.{field}", "must be true or false")
        return value is True

    def _text(self, item: dict, field: str, path: str) -> str:
        value = item.get(field)
        if value is not None and not isinstance(value, str):
            self._problem(f"{path}.{field}", "must be a text")
        return value if isinstance(value, str) else ""

    def _texts(self, item: dict, field: str, path: str) -> tuple[str, ...]:
        value = item.get(field)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            self._problem(f"{path}.{field}", "must be a list of texts")
            return ()
        return tuple(value)

    def _problem(self, path: str, message: str) -> None:
        self.problems.append(Problem(path, message))
