"""The programs: one thin module a binary."""
