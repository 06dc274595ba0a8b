"""A controller with [fleet] stands still again and again, longer than its lease, while the hosts of a zone start anew."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standin import Deployment, Host, Proxy, campus, free_port

LISTED_AFTER = 1.2        # discovery add_s: 0.23 to 2.5 s
STALL, APART = 1.9, 2.6   # stewards stand still for 1.5 to 2 s again and again

FLEET = """[fleet]
id = "campus"
name = "n1"
listen = "127.0.0.1:PORT"
folder = "TEMP/disk"
policy = "TEMP/policy.toml"
govern = ["menu-view"]
acts = "1100ms"
knows = "30s"
drift = 0.01
slack = "30ms"
linger = "1s"
election = "350ms"
beat = "60ms"

[[fleet.member]]
name = "n1"
address = "127.0.0.1:PORT"
votes = true
"""
POLICY = """revision = 1

[[residency.rule]]
name = "menus-anywhere"
products = ["menu-view"]
permit = ["main-block", "back-block"]
"""


async def main(folder, temp, trouble):
    zones = ("main-block", "back-block")
    given = campus(zones)
    hosts = [Host("box-%02d" % i, zones[i % 2]) for i in range(10)]
    proxies = [Proxy(i, zones[i % 2], [c["name"] for c in given["classes"]]) for i in range(8)]
    with open(os.path.join(temp, "policy.toml"), "w") as out:
        out.write(POLICY)
    operator = os.path.join(temp, "operator.toml")
    with open(operator, "w") as out:
        out.write(FLEET.replace("PORT", str(free_port())).replace("TEMP", temp))
    d = Deployment(folder, given, hosts, proxies, operator=operator, temp=temp, standing=8)
    d.record("trouble", trouble)
    await d.start()
    for proxy in proxies:
        d.relay.join(proxy, True)
    await asyncio.sleep(12.0)

    # The five hosts of a building start anew, as a release does it: they drain, stop, start, and are listed again some
    # seconds later with their new start.
    zone, begun = "back-block", time.monotonic()
    own = [host for host in hosts if host.zone == zone]

    async def release():
        d.record("the hosts of", zone, "drain")
        d.discovery.change(*((host, "terminating") for host in own))
        await asyncio.sleep(3.0)
        for host in own:
            await host.set_mode("dead")
        await asyncio.sleep(0.5)
        for host in own:
            host.born = time.time() * 1e3
            await host.set_mode("ok")
        d.record("the hosts of", zone, "have started")
        await asyncio.sleep(LISTED_AFTER)
        d.discovery.change(*((host, "in_service") for host in own))

    async def stalls():
        # One of them lies over the moment at which the hosts are let in again, 2.7 s after their start: at 0.3 of their
        # capacity by the settings (coldFrom 0.17, warmWithin 17 s).
        await asyncio.sleep(3.5 + 2.7 - STALL / 2)
        while time.monotonic() < begun + 26.0:
            d.process.send_signal(signal.SIGSTOP)
            d.record("controller: stands still")
            await asyncio.sleep(STALL)
            d.process.send_signal(signal.SIGCONT)
            d.record("controller: goes on")
            await asyncio.sleep(APART)

    d.excused = 1000.0     # the rules are judged once the last of it is over
    await asyncio.gather(release(), *([stalls()] if trouble else []))
    await asyncio.sleep(begun + 45.0 - time.monotonic())
    for proxy in proxies:
        proxy.joined_at = time.monotonic()      # what was before does not count
    d.excused = 0.0
    d.record("judged from here on")
    await asyncio.sleep(12.0)
    d.record("withdrawn at the relay:", sorted(d.relay.withdrawn))
    broken = await d.finish()
    d.record("broken rules:", [rule for rule, _ in broken])
    if any(rule == "crash" for rule, _ in broken):
        return 2
    return 1 if any(rule == "lost" for rule, _ in broken) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2], os.environ.get("TROUBLE", "1") != "0")))
