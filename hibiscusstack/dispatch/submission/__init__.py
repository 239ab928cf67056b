"""Ids of submissions: issued, claimed once, passed to their owner, answers kept."""
