"""Keeping the copy of the store up to date, alone or through others."""
