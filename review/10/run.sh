#!/bin/sh
# Runs case 10: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/10/case.py
