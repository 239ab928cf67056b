"""The published policy: parser, selectors, labels, classes, teams and limits."""
