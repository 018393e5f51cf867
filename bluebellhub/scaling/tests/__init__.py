"""Tests of the replicas ordered, in virtual time."""
