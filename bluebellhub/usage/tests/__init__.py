"""Tests of usage accounting, in virtual time."""
