"""Stand-ins for one controller: discovery, relay, proxies, hosts and collectors, all on loopback and on the real clock.

They follow the protocol page. Where the page is silent they behave like sound peers: the relay answers each call at once,
the channel loses nothing, a proxy does what its tables say. Only the standard library is used.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SLACK = 0.3  # times of the rules are 300 ms longer on sockets
BLOCK = "127.77.%d.%d"  # the kind of the party, with the number of its deployment, and its own number


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: one line an event, seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, who, what):
        self.file.write("%9.3f  %-12s %s\n" % (self.now(), who, what))


async def read_request(reader):
    """One HTTP/1.1 request: (method, path, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return method, path, body


def answer(status, body):
    reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Status")
    head = "HTTP/1.1 %d %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % (status, reason, len(body))
    return head.encode() + body


GONE = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError)
ENDS = (*GONE, asyncio.CancelledError)  # at the end of a case all connections are cancelled


def reset(writer):
    """Closes a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Host:
    """A host: answers probes and runs txns. It records each txn that reaches it."""

    def __init__(self, world, name, zone, born=0.0, kind="plain", block=0):
        self.world, self.name, self.zone, self.kind, self.block = world, name, zone, kind, block
        self.health, self.born, self.share = "in_service", born, 1.0
        self.address = BLOCK % (3 + 10 * world.net, len(world.hosts) + 1)
        self.port = free_port(self.address)
        self.server, self.ran, self.probes, self.answers = None, 0, 0, True
        self.writers = set()
        world.hosts[name] = self

    @property
    def dial(self):
        return "%s:%d" % (self.address, self.port)

    def row(self):
        return {"host": self.name, "dial": self.dial, "site": self.zone, "class": self.kind, "block": self.block,
                "health": self.health, "share": self.share, "born_ms": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
            for writer in list(self.writers):
                reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, path, body = await read_request(reader)
                if method == "GET":
                    self.probes += 1
                    writer.write(answer(200 if self.answers else 503, b"{}"))
                else:
                    self.ran += 1
                    self.world.ran(self, json.loads(body))
                    writer.write(answer(200, b"{}"))
                await writer.drain()
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """The list of hosts. `told` is when each state of a host was first written to the controller."""

    def __init__(self, world):
        self.world, self.seq, self.changed = world, 40, {}
        self.address = BLOCK % (1 + 10 * world.net, 1)
        self.port = free_port(self.address)
        self.news = asyncio.Condition()
        self.up, self.told, self.server, self.writers = True, {}, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def down(self):
        """Out of reach: connections are reset and new ones refused."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def change(self, *hosts):
        self.seq += 1
        for host in hosts:
            self.changed[host.name] = self.seq
            self.world.record.line("discovery", "version %d: %s is %s" % (self.seq, host.name, host.health))
        async with self.news:
            self.news.notify_all()

    def rows(self, after):
        if after is None:
            hosts = [host for host in self.world.hosts.values() if host.name in self.changed and host.health != "terminated"]
        else:
            hosts = [host for host in self.world.hosts.values() if self.changed.get(host.name, 0) > after]
        return {"seq": self.seq, "whole": after is None, "hosts": [host.row() for host in hosts]}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, path, _ = await read_request(reader)
                query = dict(re.findall(r"(\w+)=(\d+)", path))
                after = int(query["after"]) if "after" in query else None
                if after is not None and self.seq <= after:
                    async with self.news:
                        try:
                            await asyncio.wait_for(self.news.wait_for(lambda: self.seq > after), int(query["wait_ms"]) / 1e3)
                        except asyncio.TimeoutError:
                            pass
                rows = self.rows(after)
                writer.write(answer(200, json.dumps(rows).encode()))
                await writer.drain()
                now = self.world.record.now()
                for row in rows["hosts"]:
                    self.told.setdefault((row["host"], row["health"]), now)
                self.world.record.line("discovery", "answered after=%s with version %d: %s" % (
                    after, rows["seq"], ", ".join("%s %s" % (row["host"], row["health"]) for row in rows["hosts"]) or "no change"))
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Proxy:
    """A proxy: what it holds, by the stream on which it got it, and where it would send a txn of each class."""

    def __init__(self, world, number, zone, standing):
        self.world, self.number, self.zone = world, number, zone
        self.stream, self.joined, self.joined_at = 0, False, None
        self.tables = {(0, "standing"): {name: 1.0 for name in standing}}
        self.binds = {name: (0, "standing") for name in world.classes}
        self.withdrawn, self.levels = set(), {}
        self.fresh, self.sent = True, 0

    def lines(self, name):
        """The lines of a class that are not withdrawn."""
        table = self.tables.get(self.binds[name], {})
        return {host: weight for host, weight in table.items() if weight > 0 and host not in self.withdrawn}

    def level(self, name):
        key = self.binds[name]
        return self.levels.get((key, name), self.levels.get(((key[0], "*"), name), 1.0))

    def names(self, host):
        """Whether a table that it uses names the host."""
        return any(host in self.tables.get(key, {}) for key in self.binds.values())

    def apply(self, stream, orders):
        for order in orders:
            op = order["op"]
            if op == "share":
                table = self.tables.setdefault((stream, order["table"]), {})
                if order["weight"] > 0:
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
            elif op == "clear":
                self.tables.pop((stream, order["table"]), None)
            elif op == "table":
                self.tables[(stream, order["table"])] = dict(order["lines"])
                for host, out in order["out"].items():
                    (self.withdrawn.add if out else self.withdrawn.discard)(host)
                self.levels.update({((stream, order["table"]), name): level for name, level in order["levels"].items()})
            elif op == "bind":
                for name in order.get("routes") or self.world.classes:
                    self.binds[name] = (stream, order["table"])
                self.fresh = False
            elif op == "withdraw":
                self.withdrawn.add(order["server"])
            elif op == "restore":
                self.withdrawn.discard(order["server"])
            elif op == "admit":
                for name in order.get("routes") or self.world.classes:
                    self.levels[((stream, order.get("table", "*")), name)] = order["admit"]

    async def traffic(self, name, per_s):
        """Sends txns of a class, evenly, by the weights of its lines."""
        chance = random.Random("%d %s" % (self.number, name))
        await asyncio.sleep(chance.random() / per_s)
        while True:
            self.one(name, chance)
            await asyncio.sleep(1 / per_s)

    def one(self, name, chance):
        lines = self.lines(name)
        self.sent += 1
        txn = {"txn": "%d-%s-%d" % (self.number, name, self.sent), "class": name, "proxy": self.number}
        self.world.counts[(self.number, name)] = self.world.counts.get((self.number, name), 0) + 1
        if not lines or chance.random() >= self.level(name):
            self.world.refused(self, name, bool(lines))
            return
        host = chance.choices(list(lines), list(lines.values()))[0]
        asyncio.ensure_future(self.send(host, name, txn))

    async def send(self, host, name, txn):
        self.world.sends(self, host, name, txn["txn"])
        took, failed = time.monotonic(), True
        try:
            target = self.world.hosts[host]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(target.address, target.port), 0.3)
            body = json.dumps(txn).encode()
            writer.write(("POST /work HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n" % (target.dial, len(body))).encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
            failed = not head.startswith(b"HTTP/1.1 200")
            writer.close()
        except (asyncio.TimeoutError, *GONE):
            pass
        self.world.answered(self, host, name, txn["txn"], failed, (time.monotonic() - took) * 1e3)


class Relay:
    """The relay and the channel of the controller: messages leave in order, so many lines a second."""

    def __init__(self, world):
        self.world = world
        self.address = BLOCK % (2 + 10 * world.net, 1)
        self.port = free_port(self.address)
        self.tables, self.levels, self.withdrawn, self.binds = {}, {}, set(), {}
        self.free_at, self.watches, self.server, self.most, self.messages = 0.0, set(), None, 0.0, {}
        self.calls, self.writers, self.cut, self.unanswering = 0, set(), False, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, limit=1 << 20)
        asyncio.ensure_future(self.heartbeats())

    async def heartbeats(self):
        while True:
            if not self.cut:
                self.news("{}")
            await asyncio.sleep(1.0)

    def cut_off(self):
        """Out of reach: open connections are silent, what is sent does not arrive, and nothing comes back."""
        self.cut = True
        self.world.record.line("relay", "is out of reach")

    def answers_lost(self):
        """Calls are neither carried out nor answered; the news goes on."""
        self.unanswering = True
        self.world.record.line("relay", "answers no call")

    def back(self):
        self.cut = self.unanswering = False
        self.world.record.line("relay", "is in reach again and answers")
        for writer in self.writers - self.watches:
            reset(writer)

    def news(self, line):
        data = line.encode() + b"\n"
        for writer in list(self.watches):
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def subscribe(self, proxy):
        return json.dumps({"type": "SUBSCRIBE", "object": {
            "proxy": proxy.number, "zone": proxy.zone, "weight": self.world.rate, "fresh": proxy.fresh}})

    def join(self, proxy):
        proxy.stream += 1
        proxy.joined, proxy.joined_at = True, self.world.record.now()
        self.binds[proxy.number] = {}
        self.messages.pop(proxy.number, None)
        self.world.record.line("proxy %d" % proxy.number, "joins, fresh=%s" % proxy.fresh)
        self.news(self.subscribe(proxy))

    def leave(self, proxy):
        proxy.joined = False
        self.binds.pop(proxy.number, None)
        self.world.record.line("proxy %d" % proxy.number, "its stream breaks; it keeps what it holds")
        self.news(json.dumps({"type": "CLOSED", "object": {"proxy": proxy.number}}))

    def controller_gone(self):
        """The controller has died: its queue, tables and withdrawals are lost, its streams are broken."""
        self.tables, self.levels, self.withdrawn, self.binds = {}, {}, set(), {}
        self.free_at, self.watches = 0.0, set()
        for proxy in self.world.proxies:
            if proxy.joined:
                proxy.joined = False
                self.world.record.line("proxy %d" % proxy.number, "its controller died; it keeps what it holds")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, path, body = await read_request(reader)
                if self.unanswering and method == "POST":
                    # The last call without an answer lets time limits wait for 1.5 s more (protocol page).
                    self.world.excused_until = self.world.record.now() + 1.5
                    self.world.record.line("relay", "does not carry out a call, and does not answer it")
                if self.cut or self.unanswering and method == "POST":
                    await asyncio.sleep(1000)  # `back` resets the connection
                if method == "GET" and path.startswith("/watch"):
                    writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                    for proxy in self.world.proxies:
                        if proxy.joined:
                            data = self.subscribe(proxy).encode() + b"\n"
                            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
                    self.watches.add(writer)
                    await reader.read(1)
                    return
                writer.write(answer(200, json.dumps(self.call(json.loads(body)["changes"])).encode()))
                await writer.drain()
        except ENDS:
            pass
        finally:
            self.watches.discard(writer)
            self.writers.discard(writer)
            writer.close()

    def joined(self, number):
        return 0 <= number < len(self.world.proxies) and self.world.proxies[number].joined

    def call(self, orders):
        """Carries out one call; what it orders becomes one message for each proxy concerned."""
        self.calls += 1
        mail, taken, lines = {}, 0, {}

        def put(number, order, count=1):
            mail.setdefault(number, []).append(order)
            lines[number] = lines.get(number, 0) + count

        for order in orders:
            op = order["op"]
            if op in ("share", "withdraw", "restore") and order["server"] not in self.world.discovery.changed:
                break
            if op == "share":
                table = self.tables.setdefault(order["table"], {})
                if order["weight"] > 0:
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
                out = {"op": "withdraw" if order["server"] in self.withdrawn else "restore", "server": order["server"]}
                for number in self.users(order["table"]):
                    put(number, out, 0)
                    put(number, order)
            elif op == "clear":
                self.tables.pop(order["table"], None)
                for number in self.users(order["table"]):
                    put(number, order)
            elif op == "bind":
                number = order["proxy"]
                if not self.joined(number):
                    break
                table = self.tables.get(order["table"], {})
                levels = {name: level for (of, name), level in self.levels.items() if of == order["table"]}
                out = {host: host in self.withdrawn for host in table}
                put(number, {"op": "table", "table": order["table"], "lines": dict(table), "out": out, "levels": levels},
                    len(table) + len(levels) + sum(out.values()))
                put(number, order)
                for name in order.get("routes") or self.world.classes:
                    self.binds[number][name] = order["table"]
            elif op in ("withdraw", "restore"):
                (self.withdrawn.add if op == "withdraw" else self.withdrawn.discard)(order["server"])
                for proxy in self.world.proxies:
                    bound = self.binds.get(proxy.number, {}).values()
                    holds = proxy.names(order["server"]) or any(order["server"] in self.tables.get(table, {}) for table in bound)
                    if proxy.joined and holds:
                        put(proxy.number, order)
            elif op == "admit":
                for name in order.get("routes") or self.world.classes:
                    self.levels[(order.get("table", "*"), name)] = order["admit"]
                whom = self.binds if "table" not in order else self.users(order["table"])
                for number in list(whom):
                    put(number, order)
            elif op == "mark":
                if order["on"]:
                    for proxy in self.world.proxies:
                        if proxy.joined:
                            mail.setdefault(proxy.number, [])
                for number in list(mail):
                    put(number, order)
            taken += 1
        shown = ["%s %s" % (order["op"], order.get("server", order.get("proxy", ""))) for order in orders if order["op"] != "mark"]
        self.world.record.line("relay", "call %d takes %d of %d: %s" % (self.calls, taken, len(orders), ", ".join(shown) or "no order"))
        self.send(mail, lines)
        return {"taken": taken}

    def users(self, table):
        return [number for number, binds in self.binds.items() if table in binds.values()]

    def send(self, mail, lines):
        now = self.world.record.now()
        for number, orders in mail.items():
            count = lines.get(number, 0) + self.world.head
            self.free_at = max(self.free_at, now) + count / self.world.lines_per_s
            self.most = max(self.most, (self.free_at - now) * self.world.lines_per_s)
            proxy = self.world.proxies[number]
            recent = self.messages.setdefault(number, [])
            recent.append(now)
            while recent[0] < now - self.world.window:
                recent.pop(0)
            if self.world.most_messages and len(recent) > self.world.most_messages:
                self.world.broke("short queue", "proxy %d was written %d messages within %.0f s" % (number, len(recent), self.world.window))
            if self.free_at - now > self.world.backlog / self.world.lines_per_s:
                self.world.broke("short queue", "%.0f lines wait in the channel" % ((self.free_at - now) * self.world.lines_per_s))
            asyncio.ensure_future(self.deliver(proxy, proxy.stream, orders, self.free_at + self.world.transit - now))

    async def deliver(self, proxy, stream, orders, after):
        began = time.monotonic()
        await asyncio.sleep(after)
        if not proxy.joined or proxy.stream != stream:
            return
        proxy.apply(stream, orders)
        for order in orders:
            if order["op"] == "mark":
                self.news(json.dumps({"type": "ACK", "object": {
                    "proxy": proxy.number, "mark": order["nonce_out"], "took_ms": (time.monotonic() - began) * 1e3}}))
        self.world.record.line("proxy %d" % proxy.number, "applied a message; it holds %s" % "; ".join(
            "%s: %s" % (name, " ".join(sorted(proxy.lines(name))) or "-") for name in self.world.classes))


class World:
    """A small deployment of one controller, and the checks of the rules."""

    all = []

    def __init__(self, folder, zones, classes, proxies_per_zone, **settings):
        self.folder, self.record = folder, Record(folder)
        self.zones, self.classes = zones, classes
        self.head, self.lines_per_s, self.backlog = 3, 10000.0, 20000.0
        self.transit, self.worst_transit, self.window, self.most_messages = 0.15, 0.4, 10.0, 0
        self.grace, self.bare_for, self.cold_from, self.warm_within = 2.0, 4.0, 0.17, 17.0
        self.rate, self.own_zone, self.level_kind, self.standing = 8.0, [], "fraction", 8
        self.report_every, self.fall_multiple, self.overload_for = 1.0, 2.5, 1.5
        self.effects, self.may_probe, self.name, self.net = {}, True, "n0", 0
        self.__dict__.update(settings)
        self.hosts, self.counts, self.tries, self.proxies = {}, {}, {}, []
        self.broken, self.first_answer, self.process = {}, None, None
        self.late, self.bare_since, self.excused_until = {}, {}, 0.0
        self.discovery, self.relay = Discovery(self), Relay(self)
        self.proxies_per_zone = proxies_per_zone
        self.address = BLOCK % (10 * self.net, 1)
        self.port = free_port(self.address)
        self.work = tempfile.mkdtemp(prefix="case-")
        World.all.append(self)
        self.log = open(os.path.join(folder, "controller.log"), "w")

    # The deployment.

    def host(self, name, zone, born=0.0):
        return Host(self, name, zone, born)

    async def start(self):
        for host in self.hosts.values():
            self.discovery.changed[host.name] = self.discovery.seq
            await host.start()
        chance = random.Random(7)
        for zone in self.zones:
            near = [host.name for host in self.hosts.values() if host.zone == zone]
            for _ in range(self.proxies_per_zone[zone]):
                standing = chance.sample(near, min(self.standing, len(near)))
                self.proxies.append(Proxy(self, len(self.proxies), zone, standing))
        await self.discovery.start()
        await self.relay.start()

    def configuration(self, known=True):
        def ns(s):
            return int(s * 1e9)

        rows = [host.row() for host in self.hosts.values() if host.health != "terminated"] if known else []
        return {
            "name": self.name, "listen": "%s:%d" % (self.address, self.port),
            "discovery": "%s:%d" % (self.discovery.address, self.discovery.port),
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "relay": {"address": "%s:%d" % (self.relay.address, self.relay.port)},
            "known": {"seq": self.discovery.seq if known else 0, "whole": True, "hosts": rows},
            "settings": {
                "az": 0, "balancers": 1, "dcs": self.zones, "kinds": ["plain"], "discovery": "on_request",
                "classes": [{
                    "name": name, "effect": self.effects.get(name, "free"), "keyScope": "all", "goalTime": ns(1.2), "deadline": ns(3),
                    "window": ns(5), "points": 1.0, "lateWorth": 0.2} for name in self.classes],
                "familyInfo": {
                    "agents": len(self.proxies), "bootstrap": self.standing, "shards": 0, "zonal": False,
                    "classOwnZone": [name in self.own_zone for name in self.classes],
                    "classWrites": [self.effects.get(name) == "single_shot" for name in self.classes],
                    "defaultRetry": 1, "tryFactor": 0.8, "levelKind": self.level_kind, "emptyFor": ns(self.bare_for),
                    "egressPerS": self.lines_per_s, "backlog": self.backlog, "overhead": float(self.head),
                    "reloadsMax": self.most_messages, "messagesOver": ns(self.window),
                    "propagation": ns(self.transit), "worstTransit": ns(self.worst_transit),
                    "reportEvery": ns(self.report_every), "reportsPerS": 100.0},
                "loadInfo": {"how": "off", "columns": []},
                "policyLimits": {"connectTimeout": ns(0.3), "mayProbe": self.may_probe},
                "rules": {
                    "askWithin": ns(10), "drainGrace": ns(self.grace), "coldFrom": self.cold_from,
                    "warmWithin": ns(self.warm_within), "fallMultiple": self.fall_multiple, "overloadFor": ns(self.overload_for)}}}

    async def controller(self, known=True, arguments=""):
        """Starts the controller by the line `run` of the deploy file and waits until it answers `PING`."""
        path = os.path.join(self.work, "config.json")
        if known:
            now = self.record.now()
            for host in self.hosts.values():
                self.discovery.told.setdefault((host.name, host.health), now)
        with open(path, "w") as file:
            json.dump(self.configuration(known), file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        # Only what the deployment page names is in its environment.
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": self.work, "GW_NAME": self.name, "GW_CONFIG": path,
            "GW_LISTEN": "%s:%d" % (self.address, self.port),
            "GW_DISCOVERY": "%s:%d" % (self.discovery.address, self.discovery.port)}
        self.record.line("case", "starts: %s%s" % (run, arguments))
        self.process = await asyncio.create_subprocess_shell(
            run + arguments, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            executable="/bin/sh")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.address, self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line.startswith(b"PONG"):
                    self.first_answer = self.record.now()
                    self.record.line("case", "the controller answers PING")
                    return
            except (asyncio.TimeoutError, *GONE):
                pass
            if self.process.returncode is not None:
                raise CouldNotRun("the controller ended with %s" % self.process.returncode)
            await asyncio.sleep(0.05)
        raise CouldNotRun("the controller was not ready within 30 s")

    def begin_traffic(self):
        for proxy in self.proxies:
            for name in self.classes:
                asyncio.ensure_future(proxy.traffic(name, self.rate / len(self.classes)))
        for zone in self.zones:
            asyncio.ensure_future(self.collector(zone))
        asyncio.ensure_future(self.look())

    async def collector(self, zone):
        """Reports of the zone's joined proxies, each period, half a second late."""
        writer = None
        while True:
            await asyncio.sleep(self.report_every)
            lines = []
            for proxy in self.proxies:
                if proxy.zone == zone and proxy.joined:
                    for name in self.classes:
                        count = self.counts.pop((proxy.number, name), 0)
                        lines.append("RATE proxy=%d class=%s tries=%d failed=0 span_ms=%.1f" % (proxy.number, name, count, self.report_every * 1e3))
            for host in self.hosts:
                tries, failed, took = self.tries.pop((zone, host), (0, 0, 0.0))
                if tries:
                    mean = took / max(1, tries - failed)
                    lines.append("LOAD zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=%.1f" % (
                        zone, host, tries, failed, mean, self.report_every * 1e3))
            await asyncio.sleep(0.5)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection(self.address, self.port)
                    writer.write(("SOURCE zone=%s\r\n" % zone).encode())
                writer.write("".join(line + "\r\n" for line in lines).encode())
                await writer.drain()
            except GONE:
                writer = None

    # What is seen, and the rules.

    def sends(self, proxy, host, name, txn):
        now = self.record.now()
        self.record.line("proxy %d" % proxy.number, "sends %s (%s) to %s" % (txn, name, host))
        told = min((at for (of, health), at in self.discovery.told.items() if of == host and health != "in_service"), default=None)
        if told is not None and self.excused_until > told:
            told = self.excused_until
        if told is None or not proxy.joined or self.hosts[host].health == "in_service":
            return
        since = max(told, proxy.joined_at, self.first_answer + 1.0)
        late = now - since - self.grace - SLACK
        if late > 0:
            key = (proxy.number, name, host)
            count, most = self.late.get(key, (0, 0.0))
            self.late[key] = (count + 1, max(most, late))
            self.broke("safe drain", "proxy %d sends %s to %s, %.2f s after the grace" % (proxy.number, name, host, late))

    def refused(self, proxy, name, had):
        self.record.line("proxy %d" % proxy.number, "refuses a txn (%s): %s" % (name, "by its level" if had else "it has no line"))

    def ran(self, host, txn):
        self.record.line(host.name, "runs %s, is %s" % (txn["txn"], host.health))

    def answered(self, proxy, host, name, txn, failed, took):
        key = (proxy.zone, host)
        tries, failures, total = self.tries.get(key, (0, 0, 0.0))
        self.tries[key] = (tries + 1, failures + failed, total + (0.0 if failed else took))
        if failed:
            self.record.line("proxy %d" % proxy.number, "%s at %s failed" % (txn, host))

    async def look(self):
        """Rule 1: no line for a class for too long while a host that is open to it is listed and warm."""
        while True:
            await asyncio.sleep(0.05)
            now = self.record.now()
            unix = time.time() * 1e3
            for proxy in self.proxies:
                for name in self.classes:
                    key = (proxy.number, name)
                    open_to_it = any(
                        host.health == "in_service" and (host.name, "in_service") in self.discovery.told
                        and unix - host.born >= self.warm_within * 1e3 and (name not in self.own_zone or host.zone == proxy.zone)
                        for host in self.hosts.values())
                    if not proxy.joined or proxy.lines(name) or not open_to_it:
                        self.bare_since.pop(key, None)
                        continue
                    since = self.bare_since.setdefault(key, now)
                    if now - max(since, proxy.joined_at, self.first_answer + 1.0) > self.bare_for + SLACK:
                        self.broke("nobody left without a server", "proxy %d has no line for %s" % key)

    def broke(self, rule, what):
        self.broken.setdefault(rule, []).append(what)
        self.record.line("CHECK", "%s: %s" % (rule, what))

    def check_process(self):
        if self.process.returncode is not None:
            raise CouldNotRun("the controller %s ended by itself with %s" % (self.name, self.process.returncode))

    async def end(self):
        """Ends the controller and removes its folder; all stand-ins end with this process."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 3)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


class Link:
    """A way to another party that can be cut: then connections stay open and silent."""

    def __init__(self, address, to):
        self.address, self.port, self.to = address, free_port(address), to
        self.cut, self.writers, self.tasks = False, set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.cut:
                await asyncio.sleep(0.02)
            there, back = await asyncio.open_connection(*self.to)
        except GONE:
            reset(writer)
            return
        self.writers.add(back)
        await asyncio.gather(self.pump(reader, back), self.pump(there, writer))
        self.writers -= {writer, back}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except GONE:
            pass
        writer.close()


class CouldNotRun(Exception):
    pass


def play(scenario, rules):
    """Plays a scenario and exits with 1 if one of the rules was broken, 0 if they held, 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            world = await asyncio.wait_for(scenario(folder, trouble), 105)
            for one in World.all:
                one.check_process()
            return world
        finally:
            for one in World.all:
                await one.end()

    try:
        world = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as why:  # whatever keeps the case from running
        print("could not run: %r" % why)
        sys.exit(2)
    print("%s: %d calls, at most %.0f lines waited in the channel" % (
        "with trouble" if trouble else "without trouble", world.relay.calls, world.relay.most))
    for rule, found in world.broken.items():
        print("rule broken, %s: %d times; first: %s; last: %s" % (rule, len(found), found[0], found[-1]))
    sys.exit(1 if any(rule in world.broken for rule in rules) else 0)
