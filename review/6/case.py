"""A proxy's stream breaks and is back a second later, while the hosts of its building drain for a release."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from standin import Deployment, Host, Proxy, campus

AWAY = 1.2             # a forwarder dials again within 0.23 to 2.4 s of noticing
DRAIN = 5.0            # hosts finish what they have; the longest deadline of a class is 5 s
LISTED_AFTER = 1.2     # discovery add_s: 0.39 to 2.4 s


async def main(folder, temp, trouble):
    zones = ("main-block", "back-block")
    given = campus(zones)
    hosts = [Host("box-%02d" % i, zones[i % 2]) for i in range(10)]
    proxies = [Proxy(i, zones[i % 2], [c["name"] for c in given["classes"]]) for i in range(8)]
    d = Deployment(folder, given, hosts, proxies, temp=temp, standing=8)
    d.record("trouble", trouble)
    await d.start()
    for proxy in proxies:
        d.relay.join(proxy, True)
    await asyncio.sleep(10.0)

    # The five hosts of a building start anew, as a release does it: they drain, stop, start, and are listed again.
    zone = "back-block"
    own = [host for host in hosts if host.zone == zone]

    async def release():
        await asyncio.sleep(0.5)
        d.record("the hosts of", zone, "drain")
        d.discovery.change(*((host, "terminating") for host in own))
        await asyncio.sleep(DRAIN)
        for host in own:
            await host.set_mode("dead")
        await asyncio.sleep(0.5)
        for host in own:
            host.born = time.time() * 1e3
            await host.set_mode("ok")
        d.record("the hosts of", zone, "have started")
        await asyncio.sleep(LISTED_AFTER)
        d.discovery.change(*((host, "in_service") for host in own))

    async def broken_stream():
        proxy = next(proxy for proxy in proxies if proxy.zone == zone)
        d.relay.leave(proxy)
        await asyncio.sleep(AWAY)
        d.relay.join(proxy)

    await asyncio.gather(release(), *([broken_stream()] if trouble else []))
    await asyncio.sleep(15.0)
    broken = await d.finish()
    d.record("broken rules:", [rule for rule, _ in broken])
    if any(rule == "crash" for rule, _ in broken):
        return 2
    return 1 if any(rule == "drain" for rule, _ in broken) else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1], sys.argv[2], os.environ.get("TROUBLE", "1") != "0")))
