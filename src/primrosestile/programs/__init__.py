"""The programs: they read settings, build the parts and run until told to end."""
