"""The run of case 3; run.sh tells the exit status."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))

from system import (  # noqa: E402
    AGENTS,
    CONTROL,
    CORE,
    Clients,
    TROUBLE,
    begin,
    configure,
    finish,
    note,
    run,
    start_agent,
    start_balancer,
    start_control,
    start_target,
    target_lines,
)

OLD, NEW = "registre", "registre-2"
FLOWS = 24
STEPS = [90, 75, 50, 25, 10, 5, 1]
GAP_S = 1.0


def main():
    for index, address in enumerate(CORE):
        start_control(index, address)
    start_balancer()
    start_agent(0, OLD)
    start_agent(1, NEW)
    start_target(0, "i-old", OLD, f"{AGENTS[0]}:{CONTROL}")
    start_target(1, "i-new", NEW, f"{AGENTS[1]}:{CONTROL}")
    time.sleep(2)
    if not configure(1, {OLD: 100}, [OLD, NEW]):
        finish(2, "no configuration was taken")
    time.sleep(12)

    clients = Clients()
    flows = [clients.open(40000 + number) for number in range(FLOWS)]
    flows = [each for each in flows if each]

    def ask_for(seconds):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            for flow in flows:
                if not flow.reset_at:
                    clients.request(flow)
            time.sleep(0.3)

    ask_for(3)
    if any(each.target != "i-old" or not each.answered for each in flows) or not flows:
        finish(2, "not all flows were opened at the first service")
    idle_since = time.monotonic()
    # The weights move step by step. Without the trouble as many versions change
    # the timeout alone. The clients pause meanwhile.
    for step, weight in enumerate(STEPS):
        shares = {OLD: weight, NEW: 100 - weight} if TROUBLE else {OLD: 100}
        if not configure(2 + step, shares, [OLD, NEW], 1500 + step):
            finish(2, "a configuration was not taken")
        time.sleep(GAP_S)
    idle_s = round(time.monotonic() - idle_since, 1)
    answered = sum(each.answered for each in flows)
    ask_for(6)

    statuses = [each["status"] for each in target_lines("i-old") if "heartbeat" in each]
    broken = [each for each in flows if each.is_open and each.reset_at]
    note(
        flows=len(flows),
        idle_s=idle_s,
        reset_while_target_lived=len(broken),
        answered_before=answered,
        answered_after=sum(each.answered for each in flows) - answered,
        heartbeats_of_old=len(statuses),
        of_them_refused=sum(status != 200 for status in statuses),
    )
    if broken:
        finish(
            1,
            f"FLOW: {len(broken)} of {len(flows)} open flows, idle for {idle_s} s, were "
            "reset by the system while their target lived and their route stayed",
        )
    finish(0, f"{len(flows)} flows stayed at their target, idle for {idle_s} s, none reset")


begin(HERE)
run(main)
