"""Stand-ins of the platform's store, engines and clients, and the start of
hosts, for the scripts of this review. All run on loopback addresses.

Only the Python standard library is used."""
import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def now():
    return time.monotonic()


def free_ports(ip, count):
    """Returns free TCP ports of the address."""
    held, ports = [], []
    for _ in range(count):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((ip, 0))
        held.append(s)
        ports.append(s.getsockname()[1])
    for s in held:
        s.close()
    return ports


def free_net(count):
    """Returns a loopback network in which the metrics port of the template is
    free at the first addresses, so that runs can stand side by side."""
    while True:
        a, b = os.urandom(2)
        net = "127.%d.%d" % (1 + a % 250, b)
        try:
            for index in range(count):
                s = socket.socket()
                s.bind(("%s.%d" % (net, 1 + index), 9464))
                s.close()
            return net
        except OSError:
            continue


class Record:
    """Writes what was sent, answered and run, with seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.start, text))
        self.file.flush()


# --- HTTP


class Message:
    def __init__(self, first, headers, body, raw_head):
        self.first, self.headers, self.body, self.raw_head = first, headers, body, raw_head

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, raw


async def read_message(reader):
    first, headers, raw = await read_head(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body, raw)


def response(status, headers, body=b"", reason="Reply"):
    if isinstance(body, str):
        body = body.encode()
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode() + body


def chunk(data):
    if isinstance(data, str):
        data = data.encode()
    return b"%x\r\n" % len(data) + data + b"\r\n"


def split_target(target):
    path, _, query = target.partition("?")
    values = {}
    for part in query.split("&"):
        if part:
            name, _, value = part.partition("=")
            values[name] = re.sub(
                "%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), value)
    return path, values


class HttpServer:
    async def listen(self, ip, port):
        self.ip, self.port = ip, port
        self.server = await asyncio.start_server(self.serve, ip, port)

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                method, target, _ = message.first.split(" ", 2)
                if not await self.handle(method, target, message, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            try:
                writer.close()
            except Exception:
                pass


# --- The platform's store


class Store(HttpServer):
    """A log with keyed topics of one partition, as PROTOCOL.md describes."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.answered = asyncio.Condition()  # a read of the list of engines

    def topic(self, name):
        return self.topics.setdefault(name, {"first": 0, "records": [], "newest": {}})

    async def put(self, topic, key, value):
        t = self.topic(topic)
        offset = t["first"] + len(t["records"])
        t["records"].append((key, value))
        if value is None:
            t["newest"].pop(key, None)
        else:
            t["newest"][key] = (value, offset)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def handle(self, method, target, message, reader, writer):
        path, q = split_target(target)
        t = self.topic(q.get("Topic", ""))
        end = lambda: t["first"] + len(t["records"])
        if path == "/log-newest":
            items = [
                {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": o}
                for k, (v, o) in sorted(t["newest"].items()) if k > q.get("After", "")]
            body = {"Items": items[:500], "Truncated": len(items) > 500, "EndOffset": end()}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(body)))
        elif path == "/log-read":
            start = int(q.get("From", "0"))
            limit = now() + int(q.get("WaitMs", "0")) / 1000
            if start < t["first"]:
                writer.write(response(410, [], json.dumps({"FirstOffset": t["first"]})))
                return True
            while end() <= start and now() < limit:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(limit - now(), 0.001))
                    except asyncio.TimeoutError:
                        pass
            body = end().to_bytes(8, "big") + t["first"].to_bytes(8, "big")
            for key, value in t["records"][start - t["first"]:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                body += len(content).to_bytes(4, "big") + content
            writer.write(response(200, [("Content-Type", "application/octet-stream")], body))
            if q["Topic"] == "keyed.servers":
                async with self.answered:
                    self.answered.notify_all()
        elif path == "/log-append":
            data, offset = message.body, end()
            while data:
                size = int.from_bytes(data[:4], "big")
                content, data = data[4:4 + size], data[4 + size:]
                key = content[1:1 + content[0]].decode()
                value = content[1 + content[0]:]
                await self.put(q["Topic"], key, value or None)
            writer.write(response(200, [("Content-Type", "application/json")],
                                  json.dumps({"Offset": offset, "EndOffset": end()})))
        else:
            writer.write(response(404, []))
        await writer.drain()
        return True


# --- Engines


class Engine(HttpServer):
    """An engine that registers itself and answers each request with what its
    method behave() does. Notes each run in `runs`."""

    def __init__(self, store, record, service, zone="hall-a", name="", slots=16, heartbeat=1.2):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.id = name or "i-" + os.urandom(5).hex()
        self.slots, self.heartbeat = slots, heartbeat
        self.state, self.sequence, self.registered = "ready", 0, True
        self.runs, self.running = [], 0

    async def start(self, ip):
        await self.listen(ip, free_ports(ip, 1)[0])
        self.beat = asyncio.ensure_future(self.register())

    async def announce(self):
        self.sequence += 1
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                 "Version": "v1", "Slots": self.slots, "State": self.state,
                 "ColdRemainingMs": 0, "Sequence": self.sequence}
        await self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def register(self):
        while self.registered:
            await self.announce()
            await asyncio.sleep(self.heartbeat)

    def sealed(self, message):
        return [("X-Attempt-Id", message.get("X-Attempt-Id")),
                ("X-Server-Seal", "seal." + self.id)]

    async def handle(self, method, target, message, reader, writer):
        path, _ = split_target(target)
        if path == "/report":
            body = {"Stage": "both", "Models": [], "Busy": False, "Sequence": 0, "Waiting": 0,
                    "Running": self.running, "KvUsed": 0, "KvTotal": 405000, "Handles": 0}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(body)))
            await writer.drain()
            return True
        if path == "/health":
            writer.write(response(200, [("X-Instance-Id", self.id)]))
            await writer.drain()
            return True
        if path == "/order":
            writer.write(response(400, [], "{}"))
            await writer.drain()
            return True
        attempt = message.get("X-Attempt-Id")
        expected = message.get("X-Expected-Instance")
        if expected and expected != self.id:
            self.record.write("engine %s refuses %s with 421" % (self.id, attempt))
            writer.write(response(421, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.runs.append((now(), attempt, method, target, message.body))
        self.record.write("engine %s (%s) runs %s: %s %s, %d bytes" % (
            self.id, self.service, attempt, method, target, len(message.body)))
        self.running += 1
        try:
            return await self.behave(method, target, message, reader, writer)
        finally:
            self.running -= 1

    async def behave(self, method, target, message, reader, writer):
        writer.write(response(200, self.sealed(message), "answer to " + message.get("X-Attempt-Id")))
        await writer.drain()
        return True


class StreamingEngine(Engine):
    """Answers with a stream of `events` events, `gap` seconds apart."""

    def __init__(self, *args, events=20, gap=0.3, first=0.3, **named):
        super().__init__(*args, **named)
        self.events, self.gap, self.first = events, gap, first

    async def behave(self, method, target, message, reader, writer):
        last = int(message.get("Last-Event-Id") or 0)
        await asyncio.sleep(self.first)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.sealed(message):
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n")
        for number in range(last + 1, self.events + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def event(number):
    return "id: %d\ndata: piece %d\n\n" % (number, number)


# --- Settings and processes of hosts


def render(template, fields):
    """Fills in a template as DEPLOY.md describes."""

    def look(scopes, name):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value, found = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    def run(source, scopes):
        out = ""
        while True:
            m = re.search(r"\{\{([^}]*)\}\}", source)
            if not m:
                return out + source
            out += source[:m.start()]
            tag, source = m.group(1), source[m.end():]
            if tag[0] in "#^":
                name = tag[1:]
                close = source.index("{{/%s}}" % name)
                inner, source = source[:close], source[close + len(name) + 5:]
                value = look(scopes, name)
                if tag[0] == "^":
                    if value is None or value is False:
                        out += run(inner, scopes)
                elif isinstance(value, (list, dict)):
                    items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for index, (key, entry) in enumerate(items):
                        part = inner.replace("{{@}}", str(key))
                        part = part.replace("{{,}}", "," if index + 1 < len(items) else "")
                        out += run(part, [entry] + scopes)
                elif value is not None and value is not False:
                    out += run(inner, scopes)
            else:
                out += text(look(scopes, tag))

    return run(template, [fields])


class Host:
    def __init__(self, site, index, zone):
        self.site, self.index, self.zone = site, index, zone
        self.name = "front-%s-%d" % (zone, index + 1)
        self.ip = "%s.%d" % (site.net, 1 + index)
        self.front, self.ready, self.control, self.directory = [
            "%s:%d" % (self.ip, p) for p in site.ports]
        self.process, self.first = None, True
        self.store_address = ""  # of a proxy, if not that of the store

    def fields(self):
        s = self.site
        zones = {z: s.region for z in s.zones}
        return {
            "Node": self.name, "Zone": self.zone, "Region": s.region, "Zones": zones,
            "IpAddress": self.ip,
            "Listen": {"Front": self.front, "Ready": self.ready, "Control": self.control,
                       "Directory": self.directory},
            "Seeds": [h.control for h in s.hosts[:3]], "FirstStart": self.first,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "FileDescriptors": 4200},
            "Bounds": s.bounds,
            "Platform": {"Address": self.store_address or s.store.address}}

    def start(self):
        path = os.path.join(self.site.folder, self.name + ".ini")
        with open(os.path.join(ROOT, "platform/settings.ini.template"), encoding="utf-8") as f:
            template = f.read()
        with open(path, "w", encoding="utf-8") as f:
            f.write(render(template, self.fields()))
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/bin/banyanpickd"), "--settings", path],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.first = False

    def signal(self, number):
        self.site.record.write("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)


BOUNDS = {"ConfigurationApplyMs": 2000, "RetryBudgetRatio": 0.2, "BudgetExtraRetries": 100,
          "BudgetWindowS": 10, "IdleMaximumMs": 9000}


class Site:
    """A small deployment: a store, engines and hosts."""

    def __init__(self, record, hosts=6, zones=("hall-a", "hall-b", "hall-c"), region="kecskemet"):
        self.record, self.zones, self.region = record, list(zones), region
        self.bounds = dict(BOUNDS)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.engines = Store(), []
        self.net = free_net(hosts)
        self.ports = free_ports("127.0.0.1", 4)
        self.hosts = []
        for index in range(hosts):
            self.hosts.append(Host(self, index, self.zones[index % len(self.zones)]))
        self.version = 0
        self.routes, self.services, self.tenants = [], [], {"house": ["key-of-house"]}
        self.limits = {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 4000,
                       "IdleTimeoutMs": 8000}

    def route(self, prefix, kind, service, timeout=10000, aim=300, attempts=2, resumable=False):
        self.routes.append({
            "Name": prefix.strip("/"), "Host": "ring.example", "PathPrefix": prefix,
            "Service": service, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": aim,
            "Attempts": attempts, "Priority": 1, "Resumable": resumable, "TargetGapMs": 1000,
            "Sticky": False, "Public": False})
        if service not in [s["Name"] for s in self.services]:
            self.services.append({"Name": service, "HealthPath": "/health", "ConnectionLimit": 264})

    async def configure(self):
        self.version += 3
        document = {"Version": self.version, "Routes": self.routes, "Services": self.services,
                    "Limits": self.limits,
                    "Tenants": [{"Name": n, "Credentials": k} for n, k in self.tenants.items()]}
        await self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.write("configuration %d acknowledged" % self.version)

    async def start(self):
        await self.store.listen("127.0.0.1", free_ports("127.0.0.1", 1)[0])
        for engine in self.engines:
            await engine.start("127.0.0.1")
        await self.configure()
        for host in self.hosts:
            host.start()

    async def settled(self, limit=20):
        """Waits until each host is ready and each directory names all hosts."""
        end = now() + limit
        while now() < end:
            names = [await resolve(h) for h in self.hosts]
            if all(n and len(n) == len(self.hosts) for n in names):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
        for host in self.hosts:
            if host.process:
                host.process.wait()
        import shutil
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def resolve(host, timeout=1.0):
    """Asks the directory of a host. Returns its addresses, or nothing."""
    try:
        ip, port = host.directory.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)
        writer.write(("GET /resolution?Name=ring.example&Region=%s&Zone=%s HTTP/1.1\r\nHost: %s\r\n"
                      "Connection: close\r\n\r\n" % (host.site.region, host.zone, ip)).encode())
        answer = await asyncio.wait_for(read_message(reader), timeout)
        writer.close()
        if " 200 " not in answer.first:
            return []
        return json.loads(answer.body)["Addresses"]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return []


def run_case(play):
    """Runs the case and returns its exit status; 2 if it couldn't run."""

    def end(*_):
        raise SystemExit(2)  # the hosts are ended on the way out

    signal.signal(signal.SIGTERM, end)
    try:
        return asyncio.run(play())
    except Exception:
        traceback.print_exc()
        return 2


# --- Clients


class Answer:
    """What a client got. `status` is 0 when there was no whole header,
    `complete` says whether the body ended as the framing says."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, {}, b"", False, ""
        self.sent_at = self.end_at = now()


class Client:
    """One connection of a client."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def connect(self, timeout=1.0):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), timeout)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
            self.writer = None

    async def ask(self, method, path, attempt, body=b"", remaining=10000, headers=(),
                  chunked=False, key="key-of-house", timeout=None):
        result = Answer()
        try:
            if not self.writer:
                await self.connect()
            head = "%s %s HTTP/1.1\r\nHost: ring.example\r\nX-Attempt-Id: %s\r\n" % (method, path, attempt)
            head += "X-Remaining-Milliseconds: %d\r\nAuthorization: Bearer %s\r\n" % (remaining, key)
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            if chunked:
                data = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n"
                for at in range(0, len(body), 4000):
                    data += chunk(body[at:at + 4000])
                data += b"0\r\n\r\n"
            else:
                if body or method == "POST":
                    head += "Content-Length: %d\r\n" % len(body)
                data = head.encode() + b"\r\n" + body
            self.writer.write(data)
            await self.writer.drain()
            result.sent_at = now()
            await asyncio.wait_for(self.read(result), timeout or remaining / 1000 + 1)
        except asyncio.TimeoutError:
            result.error = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError) as e:
            result.error = type(e).__name__
        result.end_at = now()
        if not result.complete or result.headers.get("connection", "").lower() == "close":
            self.close()
        return result

    async def read(self, result):
        first, headers, _ = await read_head(self.reader)
        result.status, result.headers = int(first.split(" ")[1]), headers
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                result.body += data[:-2]
        else:
            length = int(headers.get("content-length", "0"))
            while len(result.body) < length:
                data = await self.reader.read(length - len(result.body))
                if not data:
                    raise asyncio.IncompleteReadError(b"", length)
                result.body += data
        result.complete = True


# --- A model engine


MODEL = {"Slots": 16, "KvCacheTokens": 405000, "KvTokenBytes": 163840, "LinkMbps": 400000.0,
         "Stride": 34, "Models": [{"Name": "m"}], "step_ms": 1.31, "per_seq_ms": 0.000917,
         "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
         "report_lag_ms": 200.0, "usual": {"prompt": 11323, "answer": 1266}, "HopMs": 0.1}


def reading_time(tokens):
    """Seconds in which one engine of MODEL reads a prompt alone."""
    pairs = tokens * tokens / 2 / 1e6
    return (tokens / 154 + pairs * MODEL["pairs_per_m"]) / 1000


class ModelEngine(Engine):
    """Reads one prompt after the other, alone or in even parts with the engines
    of X-Helpers, and then streams its events."""

    def __init__(self, *args, fleet=None, events=19, gap=0.15, **named):
        super().__init__(*args, **named)
        self.fleet, self.events, self.gap = fleet, events, gap
        self.free_at, self.used, self.tickets = 0.0, 0, {}

    def held(self):
        self.tickets = {k: v for k, v in self.tickets.items() if v[1] > now()}
        return self.used + sum(v[0] for v in self.tickets.values())

    async def handle(self, method, target, message, reader, writer):
        if target == "/report":
            body = {"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                    "Busy": False, "Sequence": 0, "Waiting": 0, "Running": self.running,
                    "KvUsed": self.held(), "KvTotal": 405000, "Handles": 0, "pace": 1,
                    "Tickets": [{"Id": k, "Tokens": v[0], "State": "held", "AgeMs": 100}
                                for k, v in self.tickets.items()]}
            writer.write(response(200, [("Content-Type", "application/json")], json.dumps(body)))
            await writer.drain()
            return True
        if target == "/order":
            order = json.loads(message.body)
            status = 200
            if order["Operation"] == "release":
                self.tickets.pop(order["Id"], None)
            elif order["Id"] in self.tickets or self.held() + order["Tokens"] <= 405000:
                self.tickets[order["Id"]] = (order["Tokens"], now() + order["HoldMs"] / 1000)
            else:
                status = 409
            writer.write(response(status, [("Content-Type", "application/json")],
                                  json.dumps({"Free": 405000 - self.held()})))
            await writer.drain()
            return True
        return await super().handle(method, target, message, reader, writer)

    async def behave(self, method, target, message, reader, writer):
        tokens = int(message.get("X-Token-Counts").split(",")[0])
        names = [h.split("/")[0] for h in message.get("X-Helpers").split(",") if h]
        parts = [self] + [e for e in self.fleet if e.address in names and e is not self]
        end = 0.0
        for engine in parts:
            engine.free_at = max(engine.free_at, now()) + reading_time(tokens) / len(parts)
            end = max(end, engine.free_at)
        self.used += tokens
        try:
            await asyncio.sleep(max(end - now(), 0))
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            head += "Transfer-Encoding: chunked\r\n"
            for name, value in self.sealed(message):
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n")
            for number in range(int(message.get("Last-Event-Id") or 0) + 1, self.events + 1):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(self.gap)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.used -= tokens
        return True
