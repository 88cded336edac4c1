"""The last tenant's key is taken away, and requests with it go on to run. See claim.txt."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from fleet import Daemon, free_addresses, run_case
from http11 import call
from plain_server import PlainServer
from store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY, UNKNOWN_KEY = "77emvd5wjiuwbg3jbept", "n0b0dyn0b0dyn0b0dy00"
# Of the sheet of saengthong-bkk.
BOUNDS = {
    "contact_ms": 3000, "configuration_ms": 2000, "drain_ms": 2000, "grace_s": 8,
    "revoke_when_partitioned": True, "revocation_ms": 5000, "retry_budget_ratio": 0.2,
    "retry_slack": 109, "budget_window_s": 10, "ceiling_window_s": 5,
}
REVOCATION_S = BOUNDS["revocation_ms"] / 1000
MARGIN_S = 0.5
ASKED_S = 8.0


def configuration(version, tenants):
    return {
        "version": version,
        "routes": [{"name": "write", "host": HOST, "path_prefix": "/write/", "kind": "unsafe",
                    "service": "app", "attempts": 1, "timeout_ms": 2000, "objective_ms": 200,
                    "priority": 1, "public": False}],
        "services": [{"name": "app", "health_path": "/health", "connection_limit": 110}],
        "tenants": tenants,
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 10000,
                   "idle_timeout_ms": 15000},
    }


async def play(record, files):
    store = Store()
    store_address = f"127.0.0.1:{await store.listen('127.0.0.1')}"
    tenants = [{"name": "school", "keys": [KEY]}]
    store.put_json("op/config", configuration(3, tenants))
    servers = [PlainServer(f"i-{number}", store, record) for number in range(3)]
    for server in servers:
        await server.start()
    daemons = [Daemon(f"front-a-{n}", host, "a", store_address, BOUNDS, files, record)
               for n, host in enumerate(free_addresses(3))]
    numbers = itertools.count(1)

    async def ask(daemon, key):
        """Whether a server has run it, and the status."""
        request_id = f"r{next(numbers)}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Milliseconds": "2000",
                   "Authorization": f"Token {key}"}
        record.note(f"sent {request_id} to {daemon.name}, key {key}")
        status, _, body = await call(daemon.host, daemon.port, "POST", "/write/x", headers, b"order")
        runs = [server.runs[request_id] for server in servers if request_id in server.runs]
        tenant = runs[0].get("tenant", "none") if runs else "-"
        record.note(f"answer to {request_id}: {status} {body[:60]!r}, runs: {len(runs)}, "
                    f"tenant at the server: {tenant}")
        return len(runs) > 0, status

    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            if not await daemon.await_ready(20):
                record.note(f"{daemon.name} did not become ready")
                return 2
        for daemon in daemons:
            if await ask(daemon, KEY) != (True, 200) or await ask(daemon, UNKNOWN_KEY) != (False, 401):
                record.note("the deployment doesn't check keys before the disruption")
                return 2
        left = [] if TROUBLE else tenants
        store.put_json("op/config", configuration(8, left))
        record.note(f"version 8 is acknowledged; tenants: {left}")
        await asyncio.sleep(REVOCATION_S + MARGIN_S)
        seen, end = {KEY: [], UNKNOWN_KEY: []}, time.monotonic() + ASKED_S
        while time.monotonic() < end:
            for daemon in daemons:
                for key, results in seen.items():
                    results.append(await ask(daemon, key))
            await asyncio.sleep(0.2)
    finally:
        for daemon in daemons:
            await daemon.end()
    ran = {key: sum(has_run for has_run, _ in results) for key, results in seen.items()}
    asked = len(seen[KEY])
    if TROUBLE:
        verdict = (f"sent later than revocation_ms after the acknowledgement: with the key that was "
                   f"taken away {ran[KEY]} of {asked} ran; with a key that no configuration ever "
                   f"held {ran[UNKNOWN_KEY]} of {asked} ran")
    else:
        verdict = (f"no key was taken away: {ran[KEY]} of {asked} ran; with a key that no "
                   f"configuration ever held {ran[UNKNOWN_KEY]} of {asked} ran")
    record.note(verdict)
    print(verdict)
    if not TROUBLE:
        return 1 if ran[UNKNOWN_KEY] else 0 if ran[KEY] == asked else 2
    return 1 if ran[KEY] or ran[UNKNOWN_KEY] else 0


run_case(HERE, play)
