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
FLOWS = 12


def main():
    for index, address in enumerate(CORE):
        start_control(index, address)
    start_balancer()
    start_agent(0, OLD)
    start_agent(1, NEW)
    start_target(0, "i-old", OLD, f"{AGENTS[0]}:{CONTROL}")
    start_target(1, "i-new", NEW, f"{AGENTS[1]}:{CONTROL}")
    time.sleep(2)
    if not configure(1, OLD, [OLD, NEW]):
        finish(2, "no configuration was taken")
    time.sleep(3)

    clients = Clients()
    flows = [clients.open(40000 + number) for number in range(FLOWS)]
    flows = [each for each in flows if each]

    def ask_until(ends):
        while time.monotonic() < ends:
            for flow in flows:
                if not flow.reset_at:
                    clients.request(flow)
            time.sleep(0.3)

    # Nothing is disturbed from the start on, for longer than contactMs.
    ask_until(time.monotonic() + 5)
    if any(each.target != "i-old" or not each.answered for each in flows) or not flows:
        finish(2, "not all flows were opened at the first service")
    # The route stays and leads new flows to another service. With the trouble,
    # the configuration does not list the former service any more.
    if not configure(2, NEW, [NEW] if TROUBLE else [OLD, NEW]):
        finish(2, "the second configuration was not taken")
    changed = time.monotonic()
    answered = sum(each.answered for each in flows)
    ask_until(changed + 12)

    later = clients.open(41000)
    if later is None or not clients.request(later) or later.target != "i-new":
        finish(2, "new flows do not reach the new service")
    lines = target_lines("i-old")
    statuses = [each["status"] for each in lines if "heartbeat" in each]
    broken = [each for each in flows if each.is_open and each.reset_at]
    note(
        flows=len(flows),
        reset_while_target_lived=len(broken),
        answered_before=answered,
        answered_after=sum(each.answered for each in flows) - answered,
        heartbeats_of_old=len(statuses),
        of_them_refused=sum(status != 200 for status in statuses),
    )
    if broken:
        finish(
            1,
            f"FLOW: {len(broken)} of {len(flows)} open flows were reset by the system "
            "while their target lived and their route stayed",
        )
    finish(0, f"{len(flows)} flows stayed at their target, none reset")


begin(HERE)
run(main)
