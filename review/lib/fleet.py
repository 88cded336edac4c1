"""Daemons as the deploy file starts them, each on a loopback address of its own, and a record."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http11

ROOT = Path(__file__).resolve().parents[2]
BLOCK = 200  # Loopback addresses 127.BLOCK.x.y; x is drawn so that runs side by side don't meet.


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._begin = time.monotonic()

    def now(self):
        return time.monotonic() - self._begin

    def note(self, what):
        self._file.write(f"{self.now():8.3f} {what}\n")
        self._file.flush()


def bound(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_addresses(count):
    """Loopback addresses on which the daemons' metrics port is free."""
    for turn in range(250):
        block = (os.getpid() + turn) % 250 + 1  # Runs side by side begin their search elsewhere.
        hosts = [f"127.{BLOCK}.{block}.{number + 1}" for number in range(count)]
        try:
            probes = []
            for host in hosts:
                probes.append(socket.socket())
                probes[-1].bind((host, 9464))
            return hosts
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise OSError("no free loopback addresses")


def render(template, values):
    """Fills in a settings template, as DEPLOY.md tells it: values and sections on values."""

    def value_of(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def section(match):
        return match.group(2) if value_of(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def placeholder(match):
        value = value_of(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Daemon:
    def __init__(self, name, host, zone, store, bounds, folder, record):
        self.name, self.host = name, host
        self.port, self.ready_port = bound(host), bound(host)
        inner = [bound(host), bound(host)]
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["daemon"]
        settings = {
            "node": name, "role": "daemon", "machine_class": "front", "serves": ["front"],
            "ip_address": host, "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen": {"front": f"{host}:{self.port}", "ready": f"{host}:{self.ready_port}"},
            "internal_ports": inner, "seeds": [], "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "file_descriptors": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_ms": 1200, "bounds": bounds,
            "platform": {"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "minimum_lifetime_ms": 1000},
        }
        path = Path(folder) / f"{name}.json"
        path.write_text(render((ROOT / deploy["template"]).read_text(), settings))
        words = deploy["run"].split()
        self.command = [str(ROOT / words[0])] + [
            str(path) if word == "/etc/ramphinge/node.json" else word for word in words[1:]]
        self._log = Path(folder) / f"{name}.log"
        self._record = record
        self.process = None

    async def start(self):
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, cwd=ROOT)
        self._record.note(f"daemon {self.name} started")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self._record.note(f"daemon {self.name} gets {signal.Signals(number).name}")

    async def is_ready(self):
        status, _, _ = await http11.call(self.host, self.ready_port, "GET", "/ramphinge/readiness",
                                         {"Host": self.host}, timeout=1.0)
        return status == 200

    async def await_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def run_case(folder, play, limit_s=115):
    """Runs `play(record, folder_for_files)`, which returns the exit status."""

    async def limited():
        with tempfile.TemporaryDirectory() as files:
            record = Record(folder)
            try:
                return await asyncio.wait_for(play(record, files), limit_s)
            except Exception as e:  # The case couldn't run.
                record.note(f"could not run: {e!r}")
                print(f"could not run: {e!r}")
                return 2

    sys.exit(asyncio.run(limited()))
