"""Two zones are cut off, one after the other: that of the leader, then that of its
successor. Three zones with an instance and two minions each; the lasting tasks run
on the minions of the first leader's zone. With TROUBLE=0 no zone is cut off."""
import os
import re
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standin  # noqa: E402

ZONES = standin.ZONES[:3]
CUT_S = 6.0
JOBS = ["00000000000000e%d" % n for n in range(4)]
BODY = {"spec": "e", "phases": [
    {"count": 1, "cpu": 4000, "mem_mb": 100, "estimate_ms": 300, "long_running": True}]}


class Zones(standin.Site):
    """A site whose zones can be cut off from one another and from the store. The
    fencing token tells the minions which instance calls."""

    def __init__(self, record, on_event):
        self.record, self.on_event = record, on_event
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = standin.Store(record)
        self.store.put("keyed.op", "config", standin.json.dumps(standin.configuration()).encode())
        self.links, self.instances, self.minions = {}, [], []
        self.zone_of, self.cut_zone, self.owners = {}, None, {}
        for zone in ZONES:
            self.links[zone] = standin.StoreLink(self.store)
            it = standin.Instance(
                self.links[zone], record, "edge-%s-1" % zone, self.folder, zone=zone)
            self.instances.append(it)
            self.zone_of[it.name] = zone

    def add_minions(self, zone):
        for n in range(2):
            it = standin.Minion(
                self.store, self.record, "i-%02x%08x" % (len(self.minions), 0x3A9000), ["a", zone],
                lambda task: None, zone=zone, on_event=self.on_event)
            it.rule = self.rule
            self.minions.append(it)

    def owner(self, token):
        """The zone of the leader with this token."""
        if token not in self.owners:
            for it in self.instances:
                if re.search(r"leadership_claimed epoch=%d\b" % token, it.log_text()):
                    self.owners[token] = self.zone_of[it.name]
        return self.owners.get(token)

    def rule(self, minion, path, body):
        caller = self.owner(body["fencing_token"])
        return "silent" if caller != minion.zone and self.cut_zone in (caller, minion.zone) else None

    def leader(self):
        """The zone of the instance that has begun the newest term."""
        terms = [(int(n), self.zone_of[it.name]) for it in self.instances
                 for n in re.findall(r"term_begun epoch=(\d+)", it.log_text())]
        return max(terms, default=(0, None))[1]

    def cut(self, zone):
        self.record("zone %s is cut off" % zone if zone else "no zone is cut off")
        self.cut_zone = zone
        for name, link in self.links.items():
            link.cut = name == zone


def case(record, trouble):
    alive, broken = {}, []

    def on_event(minion, what, task, number, detail):
        runs = alive.setdefault(task, {})
        if what != "begin":
            runs.pop((minion.id, number), None)
            return
        runs[(minion.id, number)] = minion.zone
        if len(runs) > 1:
            broken.append(task)
            record("two runs of %s at the same time: %s" % (task, sorted(runs.items())))

    site = Zones(record, on_event)
    try:
        site.start()
        if not standin.wait_for(20, site.leader):
            raise RuntimeError("no leader")
        first = site.leader()
        record("the leader is in zone %s" % first)
        site.add_minions(first)
        time.sleep(2.0)
        for n, job in enumerate(JOBS):
            site.call(n % 3, "POST", "/look/" + job, BODY)
        if not standin.wait_for(10, lambda: sum(map(len, alive.values())) == len(JOBS)):
            raise RuntimeError("the tasks were not started")
        for zone in ZONES:
            if zone != first:
                site.add_minions(zone)
        time.sleep(3.0)
        if trouble:
            site.cut(first)
            begin = time.monotonic()
            if not standin.wait_for(CUT_S, lambda: site.leader() != first):
                raise RuntimeError("no successor")
            second = site.leader()
            record("the leader is in zone %s" % second)
            time.sleep(max(0.0, begin + CUT_S - time.monotonic()))
            site.cut(second)
            time.sleep(CUT_S)
            record("the leader is in zone %s" % site.leader())
            site.cut(None)
        else:
            time.sleep(2 * CUT_S)
        time.sleep(3.0)
        record("%d tasks had two runs at the same time" % len(set(broken)))
        return not broken
    finally:
        site.stop()


standin.main(case)
