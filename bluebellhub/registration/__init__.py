"""Registrations of upstreams and their lifetimes."""

from bluebellhub.registration.registration import (
    Registration,
    RegistrationTable,
    drop_overdue,
    forget,
    make_registration_table,
    record_outage,
    register,
    replace_all,
)

__all__ = [
    'Registration',
    'RegistrationTable',
    'drop_overdue',
    'forget',
    'make_registration_table',
    'record_outage',
    'register',
    'replace_all',
]
