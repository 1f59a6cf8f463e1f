"""Emulates serving engines and their load, to judge routing policies in virtual time."""
