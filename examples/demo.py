"""Run a deployment in three data centres and send bookings and streams to it."""

import sys
import tempfile
from pathlib import Path

import httpcore

from briarthread_standins.deployment import Deployment

TEXT = Path(__file__).parent / "caruso.ini"
DATA_CENTRES = ["palermo", "catania", "messina"]
SERVICES = {"diary": "plain_service", "assistant": "stream_engine"}
SHARES = 6
BOOKING = (
    b'{"salon": "Salone Rosalia", "at": "2027-05-14 09:30", "what": "bridal trial"}'
)


def main() -> int:
    """Run the demonstration and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), DATA_CENTRES, SERVICES)
        try:
            print("Starting three data centres on loopback ...")
            deployment.start()
            deployment.apply(TEXT)
            deployment.wait_until_ready()
            deployment.wait_for_shares(["diary"], SHARES)
            succeeded = book(deployment) and stream(deployment)
        finally:
            deployment.stop()
        codes = set(deployment.exit_codes().values())
        print(f"Stopped; exit codes of all entries and agents: {sorted(codes)}")
    return 0 if succeeded and codes == {0} else 1


def book(deployment: Deployment) -> bool:
    """Send one booking, and repeat it with the same key in another data centre."""
    bodies = []
    for data_centre in ("palermo", "messina"):
        address = deployment.entry_address(data_centre)
        response = call(address, "diary/bookings", "salon-3", "booking-0001", BOOKING)
        print(f"Booking through {data_centre}: {response.status}")
        print(f"  {response.content.decode()}")
        bodies.append(response.content)
    runs = sum(
        sum(deployment.get(target, "/standin/runs").values())
        for name, target in deployment.standins.items()
        if name.startswith("diary-")
    )
    print(f"The booking ran {runs} time(s) over all diary targets.")
    return runs == 1 and bodies[0] == bodies[1]


def stream(deployment: Deployment) -> bool:
    """Stream five tokens from the assistant."""
    address = deployment.entry_address("catania")
    response = call(address, "assistant/generate", "salon-4", None, b'{"tokens": 5}')
    print(f"Assistant through catania: {response.status}")
    print("  " + " ".join(response.content.decode().split("\n\n")))
    return response.content.endswith(b"data: [DONE]\n\n")


def call(
    address: str, path: str, account_key: str, key: str | None, body: bytes
) -> httpcore.Response:
    """Send a request with an account's API key."""
    headers = {"authorization": f"Bearer {account_key}"}
    if key is not None:
        headers["idempotency-key"] = key
    url = f"http://{address}/v1/services/{path}"
    return httpcore.request("POST", url, headers=headers, content=body)


if __name__ == "__main__":
    sys.exit(main())
