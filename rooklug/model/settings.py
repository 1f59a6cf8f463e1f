"""Settings of one process: where it is, whom it asks. Read from TOML and flags by rooklug.cli."""

import attrs


@attrs.frozen
class NodeSettings:
    """Settings that every role has. Addresses are "ip:port".

    ``listen_*`` is where it binds; ``internal_address``/``http_address`` is where others
    reach it (the same unless a relay stands before it). ``bind_ip`` is the source address
    of outgoing connections. ``seeds`` are internal addresses of cores.
    """

    node_id: str
    role: str
    zone: str
    region: str
    listen_internal: str
    listen_http: str
    internal_address: str
    http_address: str
    seeds: tuple[str, ...]
    bind_ip: str = ""
    data_folder: str = ""
    log_level: str = "info"
    platform_address: str = ""


@attrs.frozen
class CoreSettings:
    """A core's own settings.

    ``members``: the cores that form the first view, by id and internal address (a later core
    finds the others through them). ``first_start``: whether a first view may be formed at all.
    ``min_in_sync_replicas``: number of disks that must have a change before it is acknowledged.
    ``exits_on_failed_write``: a supervisor starts the process again, so that a disk that was
    full for a while doesn't cost the core for good.
    """

    node: NodeSettings
    members: dict[str, str]
    first_start: bool = True
    min_in_sync_replicas: int = 2
    exits_on_failed_write: bool = False
