#!/bin/sh
# Plays the case; exit status as review/standins_2/play.py has it.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
exec python3 "$here/case.py"
