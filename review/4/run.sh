#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")" && exec python3 case.py
