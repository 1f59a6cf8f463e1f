"""Entry point of a daemon process: runs one host until SIGTERM, SIGINT or its own stop."""

import asyncio
import errno
import logging
import signal

from rooklug.runtime.host import DataFolderRefusedError, Host
from rooklug.runtime.log import LibraryLogHandler

EXIT_PORT_IN_USE = 69
EXIT_DATA_FOLDER = 73
EXIT_FAILURE = 1


def run_process(host: Host) -> int:
    """Run ``host`` until it stops; return the process's exit code."""
    logging.getLogger().addHandler(LibraryLogHandler(host.log))
    return asyncio.run(_run(host))


async def _run(host: Host) -> int:
    try:
        await host.start()
    except DataFolderRefusedError as refusal:
        host.log.write("critical", "data folder refused; exiting", {"reason": str(refusal)})
        return EXIT_DATA_FOLDER
    except OSError as problem:
        host.log.write("critical", "listen failed; exiting", {"reason": str(problem)})
        return EXIT_PORT_IN_USE if problem.errno == errno.EADDRINUSE else EXIT_FAILURE
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    fields = {"internal": host.internal_address, "http": host.http_address}
    host.log.write("info", "started", fields)
    return await host.stopped()
