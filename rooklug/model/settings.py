"""Settings of one process: its location and addresses; ``rooklug.cli`` reads them from TOML and
flags.
"""

import attrs


@attrs.frozen
class NodeSettings:
    """Settings common to all roles; addresses are "ip:port".

    The process binds to ``listen_internal`` and ``listen_http``. Others reach it at
    ``internal_address`` and ``http_address``, which differ from these only behind a relay.
    ``bind_ip`` is the source IP of outgoing connections. ``seeds`` are internal addresses of cores,
    from which the node finds the primary. ``started_with_group`` says that the deployment states
    that this process was started at the group's first start.
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
    started_with_group: bool = False


@attrs.frozen
class CoreSettings:
    """Settings of a core.

    ``members`` are the cores that form the first view, as internal address by id; a core that is
    added later finds the others through them. ``first_start`` says whether a first view may be
    formed at all, which needs the answers of all members. ``disk_never_voted`` is set only if the
    deployment states that this core has never run before on its disk: if the disk is blank, it
    then takes part in the first view without these answers. ``min_in_sync_replicas`` is the number
    of disks that must have stored a change before it is acknowledged. With
    ``exits_on_failed_write`` the process exits after a failed write, so that a supervisor restarts
    it and the core recovers from a disk that was full.
    """

    node: NodeSettings
    members: dict[str, str]
    first_start: bool = True
    min_in_sync_replicas: int = 2
    exits_on_failed_write: bool = False
    disk_never_voted: bool = False
