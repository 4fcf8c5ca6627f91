"""The start of a deployment of real processes."""

import socket
from pathlib import Path

import anyio
import pytest

from briarthread_common.http.server import open_listener
from soak import soak_deployment
from soak.soak_deployment import SoakDeployment, StartError, free_address


def test_free_address_is_kept_for_the_process_that_is_told_of_it() -> None:
    """Guards against an entry whose port another process took before it listened."""
    address = free_address()
    host, _, port = address.partition(":")
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind((host, int(port)))
    with open_listener(address) as listener, socket.create_connection((host, port)):
        assert listener.getsockname() == (host, int(port))


def test_failed_start_is_reported_with_the_logs_of_the_entries(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that fails once and leaves nothing to trace it by."""

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            deployment = SoakDeployment(tmp_path, tasks, services={}, entry_count=1)
            with open_listener(free_address()) as taken:
                in_use = "{}:{}".format(*taken.getsockname())
                monkeypatch.setattr(soak_deployment, "free_address", lambda: in_use)
                with pytest.raises(StartError, match=f"cannot listen on {in_use}"):
                    await deployment.start()
            deployment.stop()
            tasks.cancel_scope.cancel()

    monkeypatch.setattr(soak_deployment, "START_TIMEOUT_SECONDS", 3.0)
    anyio.run(scenario)
