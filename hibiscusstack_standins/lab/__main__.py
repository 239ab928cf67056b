"""Runs the lab as ``python -m hibiscusstack_standins.lab``."""

from hibiscusstack_standins.lab.main import run_as_script

if __name__ == "__main__":
    run_as_script()
