"""The home of targets: which host it is, its batches and slots, starts, transfer."""
