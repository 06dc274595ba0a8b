"""Answers of the relay are lost for 2 s while hosts drain and one proxy comes and goes; later another host drains."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import World, play

ZONE, CLASSES = "main", ["view", "list", "pay"]


async def scenario(folder, trouble):
    world = World(
        folder, [ZONE], CLASSES, {ZONE: 21}, effects={"pay": "single_shot"}, standing=8, head=6, lines_per_s=400.0,
        backlog=600.0, transit=0.2, worst_transit=0.5, rate=3.0)
    hosts = [world.host("h-%d" % number, ZONE) for number in range(12)]
    await world.start()
    await world.controller()
    comer, others = world.proxies[0], world.proxies[1:]
    for proxy in others:
        world.relay.join(proxy)
        await asyncio.sleep(0.15)
    world.begin_traffic()
    await asyncio.sleep(8)

    if trouble:
        world.relay.answers_lost()
    for pair in (hosts[0:2], hosts[2:4]):
        for host in pair:
            host.health = "terminating"
        await world.discovery.change(*pair)
        await asyncio.sleep(0.4)
    # A proxy starts, and its stream breaks.
    world.relay.join(comer)
    await asyncio.sleep(0.45)
    world.relay.leave(comer)
    await asyncio.sleep(0.3)
    if trouble:
        world.relay.back()

    # From here on all is well.
    await asyncio.sleep(8)
    hosts[7].health = "terminating"
    await world.discovery.change(hosts[7])
    await asyncio.sleep(4)
    world.relay.join(comer)
    await asyncio.sleep(20)
    return world


play(scenario, ["safe drain"])
