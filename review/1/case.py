"""An order to end an evacuation that a frozen core machine had received is carried out
when the machine wakes, after the zone was evacuated again."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
import fleet as f

ZONE = "nl-b"
FREEZE = 4.0
EVAC, OUTER, CONTACT = 5.0, 5.0, 3.0


async def case(record):
    deployment = f.Fleet(record, [("nl-a", "booking"), ("nl-b", "booking"),
                                  ("nl-c", "booking"), ("nl-d", "booking")])
    operator = f.Operator(deployment)
    instances = [f.Instance(deployment, s, f"i-{n + 1}") for n, s in enumerate(deployment.sidecars)]
    inside = [i for i in instances if i.sidecar.zone == ZONE]
    try:
        clients = await f.set_up(deployment, operator, instances)
        start = record.now()
        loads = [asyncio.ensure_future(c.load(start + 24.0, 0.1)) for c in clients]
        path = f"/api/evacuation/{ZONE}"
        frozen = 4

        status, _, _ = await operator.order("POST", path)
        if status >= 300:
            raise f.CannotRun(f"the evacuation is answered {status}")
        await asyncio.sleep(6.0)

        if f.TROUBLE:
            deployment.core[frozen].signal(signal.SIGSTOP)
        frozen_at = record.now()
        # The operator picks among the daemons of the core; this time it is that one.
        status, ended_at, _ = await operator.order("DELETE", path, first=frozen)
        if status >= 300:
            raise f.CannotRun(f"the end of the evacuation is answered {status}")
        await asyncio.sleep(1.0)
        status, acked_at, _ = await operator.order("POST", path, first=1)
        if status >= 300:
            raise f.CannotRun(f"the second evacuation is answered {status}")
        await asyncio.sleep(max(0.0, frozen_at + FREEZE - record.now()))
        if f.TROUBLE:
            deployment.core[frozen].signal(signal.SIGCONT)
        woken_at = record.now()
        await asyncio.gather(*loads)

        # In touch: `contact` after the last event at the core. Its unrest stretches the
        # bound by `outer` at most; the whole of it is granted.
        judged_from = max(acked_at + EVAC + OUTER, woken_at + CONTACT)
        late = [(at, a) for i in inside for at, a, _ in i.runs if at > judged_from]
        sent = {a: s for c in clients for a, (s, _, _) in c.answers.items()}
        late = [(at, a) for at, a in late if sent.get(a, 0.0) > judged_from]
        first = f"; the first is {late[0][1]}, {late[0][0] - acked_at:.1f} s after the ack" if late else ""
        return bool(late), (
            f"{ZONE}: evacuation withdrawn (acknowledged at {ended_at:.2f}), evacuated again "
            f"(acknowledged at {acked_at:.2f}) and not taken back since; requests sent later "
            f"than {judged_from:.2f} that ran there: {len(late)}{first}")
    finally:
        deployment.stop()
        for i in instances:
            await i.close()


f.main(HERE, case)
