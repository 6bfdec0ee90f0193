"""The programs: each reads its settings, wires its parts and runs until a signal."""
