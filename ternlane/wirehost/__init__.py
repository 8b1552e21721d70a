"""The decisions on the simulator's wire: text in, text out, one Router for each instance."""
