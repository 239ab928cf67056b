"""The published policy: its text, selectors, labels, classes, teams and limits."""
