"""The router on the simulator's wire: text in, text out, one router for each gateway."""
