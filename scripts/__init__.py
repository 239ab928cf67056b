"""Programs around the product: they start its processes and check what they did."""
