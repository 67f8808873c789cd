"""Runs the load tool against the demonstration cluster and against its engines directly."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from demo.cluster import BIN, Cluster, wait_ready
from demo.run import apply_configuration, demo_cluster

SCENARIO = Path(__file__).parent.parent / "scenarios" / "short.toml"


def write_targets(cluster: Cluster, keys: dict[str, str]) -> Path:
    """Write the targets file of a running cluster and return its path."""
    endpoints = {endpoint.name: endpoint.address for endpoint in cluster.endpoints}
    lines = [f"entries = {json.dumps([host.entry for host in cluster.hosts])}", "", "[keys]"]
    lines += [f"{name} = {json.dumps(key)}" for name, key in keys.items()]
    lines += ["", "[endpoints]"]
    lines += [f"{name} = {json.dumps(address)}" for name, address in endpoints.items()]
    path = cluster.folder / "targets.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def main() -> int:
    """Run the scenario; return the load tool's exit status."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = demo_cluster(Path(folder))
        try:
            cluster.start()
            keys = apply_configuration(cluster)
            for host in cluster.hosts:
                wait_ready(host.entry)
            engines = [item.address for item in cluster.endpoints if item.protocol == "engine"]
            arguments = [f"--scenario={SCENARIO}", f"--targets={write_targets(cluster, keys)}"]
            arguments += [f"--direct={','.join(engines)}", "--seed=1"]
            return subprocess.run([str(BIN / "samphire-load"), "run", *arguments]).returncode
        finally:
            cluster.stop()
            cluster.kill_all()


if __name__ == "__main__":
    sys.exit(main())
