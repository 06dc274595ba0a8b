"""Stand-ins for the platform of one controller, written from the protocol page: discovery, the relay with its channel,
hosts, proxies and collectors, and the judge of the rules. All of it runs in one process on loopback addresses.

The proxies and their txns are played in this process; the controller sees discovery, the relay, the hosts' probe
addresses and the collectors on real sockets. Where the page is silent the stand-ins behave like sound peers."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time

SOCKET_SLACK = 0.3   # "the rules' time limits are 300 ms longer"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.monotonic()


_chosen = set()


def free_port():
    """A port that is free now and below the range from which outgoing connections take theirs."""
    while True:
        port = random.SystemRandom().randrange(12_000, 30_000)
        if port in _chosen:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        _chosen.add(port)
        return port


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.zero = now()

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (now() - self.zero, " ".join(str(w) for w in words)))


class Host:
    """A host and its probe address. `mode`: ok, dead (refuses), silent (takes the connection and never answers)."""

    def __init__(self, name, zone, born=0.0, port=None):
        self.name, self.zone, self.born = name, zone, born
        self.port = port or free_port()
        self.mode, self.server, self.conns = "ok", None, set()
        self.tries = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.conns):
            writer.transport.abort()

    async def set_mode(self, mode):
        if mode == "dead" and self.server:
            await self.stop()
        elif mode != "dead" and not self.server:
            await self.start()
        self.mode = mode

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()


class Discovery:
    """The host list with its versions. `told` has for each host when the controller was told that it leaves."""

    def __init__(self, record, hosts, seq=41):
        self.record, self.seq, self.port = record, seq, free_port()
        self.rows, self.changed, self.told = {}, {}, {}
        self.written = seq      # newest version written to the controller
        self.down, self.wake, self.conns, self.answered = None, asyncio.Event(), set(), 0
        for host in hosts:
            self.rows[host.name] = self.row(host)
            self.changed[host.name] = seq
        self.told_state = {}

    def row(self, host, health="in_service"):
        return {"host": host.name, "dial": "127.0.0.1:%d" % host.port, "site": host.zone, "class": "k", "block": 0,
                "health": health, "share": 1.0, "born_ms": host.born}

    def change(self, *changes):
        """Each change is (host, health); one new version for all."""
        self.seq += 1
        for host, health in changes:
            self.rows[host.name] = self.row(host, health)
            self.changed[host.name] = self.seq
        self.record("discovery: version", self.seq, [(h.name, s) for h, s in changes])
        self.wake.set()
        self.wake = asyncio.Event()

    def whole(self):
        rows = [row for row in self.rows.values() if row["health"] != "terminated"]
        return {"seq": self.seq, "whole": True, "hosts": rows}

    def changes(self, after):
        rows = [self.rows[name] for name, seq in self.changed.items() if seq > after]
        return {"seq": self.seq, "whole": False, "hosts": rows}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                if self.down == "error":
                    answer(writer, b"", status="503 Service Unavailable")
                    continue
                if self.down == "silent":
                    await asyncio.sleep(3600)
                query = dict(p.split("=") for p in path.split("?")[1].split("&")) if "?" in path else {}
                if "after" in query:
                    after, until = int(query["after"]), now() + int(query.get("wait_ms", 0)) / 1e3
                    while self.seq <= after and now() < until and not self.down:
                        wake = self.wake
                        try:
                            await asyncio.wait_for(wake.wait(), until - now())
                        except asyncio.TimeoutError:
                            pass
                    body = self.changes(after)
                else:
                    body = self.whole()
                if self.down == "error":
                    answer(writer, b"", status="503 Service Unavailable")
                    continue
                answer(writer, json.dumps(body).encode())
                await writer.drain()
                self.answered += 1
                self.note_told(body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def note_told(self, body):
        at = now()
        if body["hosts"] or body["whole"]:
            self.record("discovery: told", body["seq"], "whole" if body["whole"] else "changes",
                        [(r["host"], r["health"]) for r in body["hosts"]])
        named = set()
        for row in body["hosts"]:
            name = row["host"]
            named.add(name)
            self.told_state[name] = row
            if row["health"] != "in_service":
                self.told.setdefault(name, at)
            else:
                self.told.pop(name, None)
        if body["whole"]:
            for name in list(self.told_state):
                if name not in named:
                    self.told_state[name] = dict(self.told_state[name], health="terminated")
                    self.told.setdefault(name, at)
        self.written = body["seq"]


def answer(writer, body, status="200 OK"):
    writer.write(("HTTP/1.1 %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                  % (status, len(body))).encode() + body)


class Proxy:
    def __init__(self, number, zone, classes):
        self.number, self.zone = number, zone
        self.lines = {c: {} for c in classes}      # class -> {host: weight}, as applied
        self.table = {c: None for c in classes}    # class -> table id, as applied
        self.out_old, self.out = set(), set()      # withdrawals of earlier streams, of this one
        self.joined, self.joined_at, self.stream = False, None, 0
        self.fresh, self.bound = True, False
        self.ordered = {}                          # relay's view: class -> table
        self.stalled_until = 0.0
        self.bare_since = {c: None for c in classes}
        self.level = {c: 1.0 for c in classes}     # the share that is let in, as applied
        self.came = {c: 0 for c in classes}
        self.failed = {c: 0 for c in classes}
        self.messages = []

    def shut(self, host):
        return host in self.out or (not self.bound and host in self.out_old)

    def usable(self, cls):
        return {h: w for h, w in self.lines[cls].items() if not self.shut(h)}

    def holds(self, host):
        return any(host in lines for lines in self.lines.values())


class Relay:
    """The relay and the channel of the controller's orders to its proxies."""

    def __init__(self, record, proxies, classes, settings):
        self.record, self.proxies, self.classes = record, proxies, classes
        f = settings["familyInfo"]
        self.rate, self.head, self.most = f["egressPerS"], f["overhead"], f["backlog"]
        self.late, self.late_most = f["propagation"] / 1e9, f["worstTransit"] / 1e9
        self.messages_most, self.messages_over = f["reloadsMax"], f["messagesOver"] / 1e9
        self.port, self.busy, self.fault, self.silent = free_port(), False, None, False
        self.tables, self.levels, self.withdrawn = {}, {}, set()
        self.queue, self.waiting, self.peak, self.broken = [], 0.0, 0.0, []
        self.watchers, self.calls, self.conns = set(), 0, set()
        self.slow, self.known_hosts = 1.0, set()
        self.excuse_until = 0.0
        self.calls_broken, self.answer_after, self.cut = 0, 0.0, False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        asyncio.get_running_loop().create_task(self.pump())
        asyncio.get_running_loop().create_task(self.signs())

    async def signs(self):
        while True:
            await asyncio.sleep(1.0)
            if not self.silent and not self.cut:
                self.tell(None)

    def tell(self, event):
        data = (json.dumps(event) if event else "{}").encode() + b"\n"
        for watcher in list(self.watchers):
            if self.cut:
                continue
            if self.silent:
                watcher.pending.append(data)
            else:
                chunk(watcher, data)

    def cut_off(self, on):
        """The controller and the relay are cut off from each other: connections stay open and silent, and are reset when
        it is over. What is sent meanwhile is lost, but the orders in the channel go on to the proxies."""
        self.cut = on
        self.record("relay:", "cut off from the controller" if on else "back")
        if not on:
            for writer in list(self.conns):
                writer.transport.abort()
            self.watchers.clear()

    def reset_controller(self):
        """The controller's process ended: what waits and what it withdrew is lost."""
        self.queue, self.waiting, self.tables, self.levels, self.withdrawn = [], 0.0, {}, {}, set()

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if self.cut:               # lost on the way
                    await asyncio.sleep(3600)
                if self.silent:
                    await self.until_heard()
                method, path = head.split(" ")[:2]
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                body = await reader.readexactly(length)
                if path == "/watch":
                    await self.watch(reader, writer)
                    return
                changes = json.loads(body)["changes"]
                fault = self.fault(changes) if self.fault else None
                if fault == "never":       # never carried out, connection reset
                    self.excuse("a call reset and not carried out", 0.5)
                    writer.transport.abort()
                    return
                taken = 0 if self.busy else self.carry_out(changes)
                if fault == "reset":       # carried out, answer lost
                    self.excuse("a call carried out and reset", 0.5)
                    writer.transport.abort()
                    return
                if fault == "silence":
                    self.excuse("a call carried out and not answered", 1.5)
                    await asyncio.sleep(3600)
                if fault == "spoilt":
                    self.excuse("a call carried out and its answer spoilt", 1.5)
                    answer(writer, b'{"taken":"x"}')
                    continue
                if self.answer_after:      # the page allows 50 ms
                    await asyncio.sleep(self.answer_after)
                answer(writer, json.dumps({"error": "BUSY"} if self.busy else {"taken": taken}).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()

    def excuse(self, what, length):
        self.calls_broken += 1
        self.excuse_until = max(self.excuse_until, now()) + length
        self.record("relay: fault:", what)

    async def until_heard(self):
        while self.silent:
            await asyncio.sleep(0.01)

    async def watch(self, reader, writer):
        writer.pending = []
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")
        for proxy in self.proxies:
            if proxy.joined:
                chunk(writer, json.dumps(self.joining(proxy)).encode() + b"\n")
        self.watchers.add(writer)
        self.record("relay: a watch, joined:", sum(p.joined for p in self.proxies))
        try:
            while await reader.read(1) != b"":
                break
        finally:
            self.watchers.discard(writer)

    def joining(self, proxy):
        return {"type": "SUBSCRIBE", "object": {"proxy": proxy.number, "zone": proxy.zone, "weight": 10.0,
                                                "fresh": proxy.fresh}}

    def join(self, proxy, fresh=None):
        proxy.joined, proxy.joined_at, proxy.stream = True, now(), proxy.stream + 1
        proxy.out_old |= proxy.out
        proxy.out, proxy.bound, proxy.ordered, proxy.messages = set(), False, {}, []
        if fresh is not None:
            proxy.fresh = fresh
        self.record("proxy", proxy.number, "joins, fresh" if proxy.fresh else "joins")
        self.tell(self.joining(proxy))

    def leave(self, proxy, notice=0.0):
        if not proxy.joined:
            return
        proxy.joined = False
        self.queue = [m for m in self.queue if m["proxy"] is not proxy]
        self.waiting = sum(m["lines"] for m in self.queue)
        proxy.stream += 1
        self.record("proxy", proxy.number, "leaves")
        number = proxy.number
        asyncio.get_running_loop().call_later(notice, lambda: self.tell({"type": "CLOSED",
                                                                         "object": {"proxy": number}}))

    def break_watches(self):
        for watcher in list(self.watchers):
            watcher.transport.abort()
        self.watchers.clear()

    def carry_out(self, changes):
        """Carries out the orders up to the first that can't be used; returns how many."""
        self.calls += 1
        messages, mark, taken = {}, None, 0

        def message(proxy):
            return messages.setdefault(proxy.number, {"proxy": proxy, "lines": self.head, "ops": [],
                                                      "stream": proxy.stream})

        for change in changes:
            op, table = change.get("op"), change.get("table", 65535)
            routes = change.get("routes") or self.classes
            if op == "share":
                host, weight = change["server"], change["weight"]
                if host not in self.known_hosts or weight < 0:
                    break
                entries = self.tables.setdefault(table, {})
                if weight > 0:
                    entries[host] = weight
                else:
                    entries.pop(host, None)
                for p in self.users(table):
                    m = message(p)
                    m["lines"] += 1
                    m["ops"].append(("share", table, host, weight, host in self.withdrawn))
            elif op == "clear":
                self.tables[table] = {}
                for key in [k for k in self.levels if k[0] == table]:
                    del self.levels[key]
                for p in self.users(table):
                    m = message(p)
                    m["lines"] += 1
                    m["ops"].append(("clear", table))
            elif op == "bind":
                proxy = self.proxies[change["proxy"]]
                if not proxy.joined:
                    break
                entries = dict(self.tables.setdefault(table, {}))
                out = {h for h in entries if h in self.withdrawn}
                for c in routes:
                    proxy.ordered[c] = table
                m = message(proxy)
                m["lines"] += 1 + len(entries) + len(out) + sum(1 for k in self.levels if k[0] == table)
                let_in = {c: min(self.levels.get((table, c), 1.0), self.levels.get((65535, c), 1.0)) for c in routes}
                m["ops"].append(("bind", table, list(routes), entries, out, let_in))
            elif op in ("withdraw", "restore"):
                host = change["server"]
                if host not in self.known_hosts:
                    break
                (self.withdrawn.add if op == "withdraw" else self.withdrawn.discard)(host)
                for p in self.proxies:
                    if p.joined and (p.holds(host) or any(host in self.tables.get(t, {}) for t in p.ordered.values())):
                        m = message(p)
                        m["lines"] += 1
                        m["ops"].append((op, host))
                    elif p.joined:
                        self.apply_out(p, op, host)
            elif op == "admit":
                for c in routes:
                    self.levels[(table, c)] = change["admit"]
                for p in (self.users(table) if table != 65535 else [p for p in self.proxies if p.joined]):
                    m = message(p)
                    m["lines"] += 1
                    m["ops"].append(("admit", table, routes, change["admit"]))
            elif op == "mark":
                mark = change["nonce_out"]
                if change["on"]:
                    for p in self.proxies:
                        if p.joined:
                            message(p)
                for m in messages.values():
                    m["lines"] += 1
                    m["ops"].append(("mark", mark, now()))
            else:
                break
            taken += 1
        for m in messages.values():
            self.queue.append(m)
            p = m["proxy"]
            p.messages = [at for at in p.messages if at > now() - self.messages_over] + [now()]
            if self.messages_most and len(p.messages) > self.messages_most:
                self.breach("messages", "proxy %d was written %d messages within %.0f s"
                            % (p.number, len(p.messages), self.messages_over))
        self.waiting = sum(m["lines"] for m in self.queue)
        self.peak = max(self.peak, self.waiting)
        if self.waiting > self.most:
            self.breach("backlog", "%.0f lines wait, %.0f are allowed" % (self.waiting, self.most))
        if changes:
            ops = {}
            for c in changes[:taken]:
                ops[c["op"]] = ops.get(c["op"], 0) + 1
            told = [(c["op"], c["server"]) for c in changes if c["op"] in ("withdraw", "restore")]
            self.record("relay: call", taken, "of", len(changes), ops, told or "", "waiting %.0f" % self.waiting)
        return taken

    def users(self, table):
        return [p for p in self.proxies if p.joined and table in p.ordered.values()]

    def breach(self, rule, what):
        self.record("BREACH", rule + ":", what)
        self.broken.append((rule, what))

    def apply_out(self, p, op, host):
        if op == "withdraw":
            p.out.add(host)
        else:
            p.out.discard(host)
            p.out_old.discard(host)

    async def pump(self):
        """Messages leave one after the other at the channel's pace, and arrive in order some time later."""
        credit, last = 0.0, now()
        while True:
            await asyncio.sleep(0.005)
            at = now()
            credit = min(credit + (at - last) * self.rate / self.slow, 200.0)
            last = at
            while self.queue and credit >= self.queue[0]["lines"] or self.queue and credit >= 200.0:
                m = self.queue.pop(0)
                credit -= m["lines"]
                self.waiting -= m["lines"]
                transit = min(max(random.gauss(self.late, self.late / 4), self.late / 2), self.late_most) * self.slow
                asyncio.get_running_loop().call_later(transit, self.arrive, m)

    def arrive(self, m):
        p = m["proxy"]
        if not p.joined or m["stream"] != p.stream:
            return
        if p.stalled_until > now():
            asyncio.get_running_loop().call_later(p.stalled_until - now() + 0.001, self.arrive, m)
            return
        for op in m["ops"]:
            if op[0] == "share":
                _, table, host, weight, out = op
                for c, t in p.table.items():
                    if t == table:
                        if weight > 0:
                            p.lines[c][host] = weight
                        else:
                            p.lines[c].pop(host, None)
                if out:
                    p.out.add(host)
            elif op[0] == "clear":
                for c, t in p.table.items():
                    if t == op[1]:
                        p.lines[c] = {}
            elif op[0] == "bind":
                _, table, routes, entries, out, let_in = op
                for c in routes:
                    p.lines[c], p.table[c], p.level[c] = dict(entries), table, let_in[c]
                p.out |= out
                p.bound, p.fresh = True, False
            elif op[0] in ("withdraw", "restore"):
                self.apply_out(p, op[0], op[1])
            elif op[0] == "admit":
                for c in op[2]:
                    if op[1] in (65535, p.table[c]):
                        p.level[c] = op[3]
            elif op[0] == "mark":
                self.tell({"type": "ACK", "object": {"proxy": p.number, "mark": op[1],
                                                     "took_ms": round((now() - op[2]) * 1e3, 1)}})


def chunk(writer, data):
    if not writer.transport.is_closing():
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class Link:
    """A way to a peer that can be cut: then connections stay open and silent, and are reset when it is over."""

    def __init__(self, port):
        self.to, self.port, self.cut, self.conns = port, free_port(), False, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.transport.abort()
            return
        self.conns |= {writer, far_writer}

        async def pass_on(source, sink):
            try:
                while data := await source.read(65536):
                    while self.cut:
                        await asyncio.sleep(0.02)
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            sink.close()
        await asyncio.gather(pass_on(reader, far_writer), pass_on(far_reader, writer))

    def cut_off(self, on):
        self.cut = on
        if not on:
            for writer in list(self.conns):
                writer.transport.abort()
            self.conns.clear()


async def nobody():
    """An address where connections are taken and nothing is ever answered."""
    async def serve(reader, writer):
        await asyncio.sleep(3600)
    port = free_port()
    return await asyncio.start_server(serve, "127.0.0.1", port), port


class Deployment:
    """One controller with its platform, and the judge of the rules."""

    def __init__(self, folder, settings, hosts, proxies, seed=1, record="record.txt", operator=None, standing=5,
                 rate=8.0, known=None, temp=None):
        random.seed(seed)
        self.record = Record(os.path.join(folder, record))
        self.settings, self.hosts, self.proxies = settings, {h.name: h for h in hosts}, proxies
        self.classes = [c["name"] for c in settings["classes"]]
        self.own_zone = dict(zip(self.classes, settings["familyInfo"]["classOwnZone"]))
        self.zones, self.rate = settings["dcs"], rate
        self.discovery = Discovery(self.record, hosts)
        self.relay = Relay(self.record, proxies, self.classes, settings)
        self.relay.known_hosts = set(self.hosts)
        self.listen, self.process, self.operator = free_port(), None, operator
        self.temp = temp or os.path.join(folder, "tmp")
        os.makedirs(self.temp, exist_ok=True)
        self.known, self.ponged, self.reports, self.ended = known, None, {}, False
        self.empty = settings["familyInfo"]["emptyFor"] / 1e9 + SOCKET_SLACK
        self.grace = settings["rules"]["drainGrace"] / 1e9 + SOCKET_SLACK
        self.warm = settings["rules"]["warmWithin"] / 1e9
        self.sent, self.drains, self.bares, self.excused = 0, {}, {}, 0.0
        self.cut = set()      # zones whose hosts the proxies and the controller of other zones can't reach
        self.worst_bare, self.log = {}, None
        self.permitted, self.permitted_since, self.strayed = {}, 0.0, set()
        for proxy in proxies:
            self.standing(proxy, standing)

    def standing(self, proxy, count):
        own = [h for h in self.hosts.values() if h.zone == proxy.zone and
               self.discovery.rows.get(h.name, {}).get("health") == "in_service"]
        pool = own if len(own) >= 3 else list(self.hosts.values())
        for c in self.classes:
            picked = random.sample(pool, min(count, len(pool)))
            proxy.lines[c], proxy.table[c] = {h.name: 1.0 for h in picked}, None
        first = proxy.lines[self.classes[0]]
        for c in self.classes:
            proxy.lines[c] = dict(first)

    def write_config(self):
        config = {"name": "n1", "listen": "127.0.0.1:%d" % self.listen,
                  "discovery": "127.0.0.1:%d" % self.discovery.port, "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "relay": {"address": "127.0.0.1:%d" % self.relay.port},
                  "known": self.known or self.discovery.whole(), "settings": self.settings}
        self.config = os.path.join(self.temp, "config.json")
        with open(self.config + ".new", "w") as out:
            json.dump(config, out)
        os.replace(self.config + ".new", self.config)

    def start_controller(self):
        self.write_config()
        env = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        env.update(GW_NAME="n1", GW_LISTEN="127.0.0.1:%d" % self.listen, GW_CONFIG=self.config,
                   GW_DISCOVERY="127.0.0.1:%d" % self.discovery.port, TMPDIR=self.temp)
        command = "exec target/release/amberarch" + (" run --operator %s" % self.operator if self.operator else "")
        self.log = open(os.path.join(self.temp, "controller.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        with open(os.path.join(self.temp, "controller.pid"), "w") as out:
            out.write("%d" % self.process.pid)
        self.ponged, self.planned = None, False
        self.record("controller: started, process", self.process.pid)

    def end_controller(self, how=signal.SIGKILL):
        self.planned = True
        self.process.send_signal(how)
        self.process.wait(10)
        os.remove(os.path.join(self.temp, "controller.pid"))
        self.relay.reset_controller()
        self.record("controller: ended by", how.name)

    async def start(self):
        for host in self.hosts.values():
            await host.start()
        await self.discovery.start()
        await self.relay.start()
        self.start_controller()
        await self.ready()
        loop = asyncio.get_running_loop()
        # Connections that are open at the end are cancelled; asyncio would report each of them.
        loop.set_exception_handler(lambda *_: None)
        self.tasks = [loop.create_task(self.collector(zone)) for zone in self.zones]
        self.tasks += [loop.create_task(self.traffic()), loop.create_task(self.judge())]

    async def ready(self, within=30.0):
        until = now() + within
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.listen)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line.strip() == b"PONG":
                    self.ponged = now()
                    self.record("controller: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the controller was not ready in time")

    def warm_host(self, host):
        row = self.discovery.told_state.get(host.name) or self.discovery.rows.get(host.name)
        if row is None:
            return False
        born = row["born_ms"]
        return row["health"] == "in_service" and (born == 0 or time.time() - born / 1e3 >= self.warm)

    def capacity(self, host):
        if not host.born:
            return 1.0
        cold = self.settings["rules"]["coldFrom"]
        return min(1.0, cold + (1 - cold) * (time.time() - host.born / 1e3) / self.warm)

    def reaches(self, zone, other):
        return zone == other or not ({zone, other} & self.cut)

    async def traffic(self):
        """Each proxy sends `rate` txns a second of each class by its tables; failures in a row are not acted on."""
        step = 0.02
        chance = self.rate * step
        while True:
            await asyncio.sleep(step)
            at = now()
            for p in self.proxies:
                if p.stalled_until > at:
                    continue
                for c in self.classes:
                    if random.random() >= chance:
                        continue
                    p.came[c] += 1
                    if random.random() >= p.level[c]:
                        continue
                    usable = p.usable(c)
                    if not usable:
                        p.failed[c] += 1
                        continue
                    name = random.choices(list(usable), list(usable.values()))[0]
                    host = self.hosts[name]
                    self.sent += 1
                    if p.joined and host.zone not in self.permitted.get((p.zone, c), self.zones):
                        late = at - max(p.joined_at, self.permitted_since, (self.ponged or at) + 1.0) - self.grace
                        if late - self.excused_since(p.joined_at) > 0 and (p.number, c) not in self.strayed:
                            self.strayed.add((p.number, c))
                            self.relay.breach("reach", "proxy %d of %s sends %s to %s of %s, %.2f s past"
                                              % (p.number, p.zone, c, name, host.zone, late))
                    host.tries += 1
                    good = host.mode == "ok" and self.reaches(p.zone, host.zone)
                    p.failed[c] += not good
                    told = self.discovery.told.get(name)
                    if p.joined and told:
                        self.drain_send(p, c, name, told)
                    if p.joined:
                        key = (p.zone, name)
                        tries, failed = self.reports.get(key, (0, 0))
                        self.reports[key] = (tries + 1, failed + (not good))

    def drain_send(self, p, c, name, told):
        begins = max(told, p.joined_at, (self.ponged or now()) + 1.0)
        late = now() - begins - self.grace - self.excused_since(begins)
        if late > 0 and self.ponged:
            seen = self.drains.setdefault((p.number, name), [0, 0.0, now()])
            seen[0] += 1
            seen[1] = max(seen[1], late)
            if seen[0] == 1:
                self.relay.breach("drain", "proxy %d sends %s to %s, told %.2f s ago, joined %.2f s ago, %.2f s past"
                                  % (p.number, c, name, now() - told, now() - p.joined_at, late))

    def excused_since(self, at):
        return max(0.0, min(self.relay.excuse_until, now()) - at) if self.relay.excuse_until > at else self.excused

    async def judge(self):
        while True:
            await asyncio.sleep(0.02)
            at = now()
            for p in self.proxies:
                for c in self.classes:
                    open_hosts = [h for h in self.hosts.values() if self.warm_host(h)
                                  and (not self.own_zone[c] or h.zone == p.zone)
                                  and h.zone in self.permitted.get((p.zone, c), self.zones)]
                    if p.joined and self.ponged and p.level[c] > 0 and not p.usable(c) and open_hosts:
                        since = p.bare_since[c]
                        if since is None:
                            p.bare_since[c] = since = at
                        begins = max(since, p.joined_at, self.ponged + 1.0)
                        bare = at - begins - self.excused_since(begins)
                        key = (p.number, c)
                        self.worst_bare[key] = max(self.worst_bare.get(key, 0.0), bare)
                        if bare > self.empty and key not in self.bares:
                            self.bares[key] = bare
                            self.relay.breach("lost", "proxy %d has no line for %s for %.2f s; listed, warm and on: %s"
                                              % (p.number, c, bare, [h.name for h in open_hosts]))
                    else:
                        p.bare_since[c] = None
            if self.process and not self.planned and self.process.poll() is not None and not self.ended:
                self.relay.breach("crash", "the controller ended with %s" % self.process.returncode)
                self.ended = True

    async def collector(self, zone):
        every = self.settings["familyInfo"]["reportEvery"] / 1e9
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.listen)
                writer.write(b"SOURCE zone=%s\r\n" % zone.encode())
                while True:
                    await asyncio.sleep(every)
                    lines = []
                    for (of, name), (tries, failed) in sorted(self.reports.items()):
                        if of == zone:
                            lines.append("LOAD zone=%s server=%s tries=%d failed=%d mean_ms=%.1f span_ms=%.1f"
                                         % (zone, name, tries, failed, 120.0 if tries > failed else 0.0, every * 1e3))
                            del self.reports[(of, name)]
                    for p in self.proxies:
                        if p.zone == zone and p.joined:
                            for c in self.classes:
                                lines.append("RATE proxy=%d class=%s tries=%d failed=%d span_ms=%.1f"
                                             % (p.number, c, p.came[c], min(p.failed[c], p.came[c]), every * 1e3))
                                p.came[c] = p.failed[c] = 0
                    await asyncio.sleep(random.uniform(0.52, 1.5))
                    writer.write("".join(line + "\r\n" for line in lines).encode())
                    await writer.drain()
            except OSError:
                await asyncio.sleep(0.3)

    async def cut_zone(self, zone, on):
        """A zone is cut off from the others; the controller stands in another zone or in it."""
        (self.cut.add if on else self.cut.discard)(zone)

    async def finish(self):
        self.ended = True
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(0.2)
            self.process.terminate()
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
            os.remove(os.path.join(self.temp, "controller.pid"))
        for task in self.tasks:
            if task.done():
                task.result()      # a stand-in that failed: the case could not run
            task.cancel()
        for host in self.hosts.values():
            await host.stop()
        self.record("sent", self.sent, "txns; calls", self.relay.calls, "; most lines that waited %.0f of %.0f"
                    % (self.relay.peak, self.relay.most))
        for (number, name), (count, late, _) in sorted(self.drains.items()):
            self.record("proxy", number, "sent", count, "txns to", name, "after the grace, the last %.2f s past it" % late)
        worst = sorted(self.worst_bare.items(), key=lambda kv: -kv[1])[:5]
        for (number, c), bare in worst:
            self.record("proxy", number, "was without a line for", c, "for %.2f s, limit %.2f s" % (bare, self.empty))
        return self.relay.broken


def settings(zones=("teika", "plavnieki", "imanta"), proxies=12, own_zone=(False, False, False), **more):
    """Settings in the form of the configuration, with figures inside the ranges of a small deployment."""
    s = 1_000_000_000
    classes = [("results-page", "free", 0.8, 2.5, 1.0, 0.2), ("detail-page", "free", 1.5, 5.0, 1.0, 0.1),
               ("tally-submit", "single_shot", 1.0, 2.5, 2.0, 0.1)]
    built = {
        "az": 0, "balancers": 1, "dcs": list(zones), "kinds": ["k"], "discovery": "on_request",
        "classes": [{"name": n, "effect": e, "keyScope": "all", "goalTime": int(g * s), "deadline": int(d * s),
                     "window": 5 * s, "points": w, "lateWorth": l} for n, e, g, d, w, l in classes],
        "familyInfo": {
            "agents": proxies, "bootstrap": 5, "shards": 0, "zonal": False, "classOwnZone": list(own_zone),
            "classWrites": [False, False, True], "defaultRetry": 0, "tryFactor": 0.8, "levelKind": "off",
            "emptyFor": int(3.9 * s), "egressPerS": 2200.0, "backlog": 2200.0, "overhead": 6.0, "reloadsMax": 30,
            "messagesOver": 10 * s, "propagation": 207_000_000, "worstTransit": 517_500_000,
            "reportEvery": 2 * s, "reportsPerS": 120.0},
        "loadInfo": {"how": "off", "columns": []},
        "policyLimits": {"connectTimeout": 250_000_000, "mayProbe": True},
        "rules": {"askWithin": 10 * s, "drainGrace": int(2.3 * s), "coldFrom": 0.17, "warmWithin": 17 * s,
                  "fallMultiple": 4.0, "overloadFor": 2 * s}}
    for path, value in more.items():
        section, key = path.split("__")
        built[section][key] = value
    return built


def campus(zones):
    """Settings inside the ranges of the campus: two buildings, and a class that stays in its own."""
    given = settings(zones, proxies=8, own_zone=(False, True), rules__drainGrace=2_000_000_000, rules__fallMultiple=2.5,
                     rules__overloadFor=1_500_000_000)
    given["classes"] = [dict(given["classes"][0], name="menu-view", goalTime=2_000_000_000, deadline=5_000_000_000),
                        dict(given["classes"][2], name="order-pay", goalTime=1_200_000_000, deadline=3_000_000_000)]
    given["familyInfo"].update(classWrites=[False, True], egressPerS=12000.0, backlog=18000.0, overhead=3.0,
                               reloadsMax=0, levelKind="fraction", bootstrap=8, reportEvery=1_000_000_000,
                               reportsPerS=100.0)
    return given
