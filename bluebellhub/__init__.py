"""Schedules requests onto heterogeneous model engines and services."""

__all__ = ['__version__']

__version__ = '0.1.0'
