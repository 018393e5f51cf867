"""Registrations of upstreams and their lifetimes."""

from bluebellhub.registration.registration import (
    Registration,
    RegistrationTable,
    drop_overdue,
    make_registration_table,
    record_outage,
    register,
    replace_all,
    unregister,
)

__all__ = [
    'Registration',
    'RegistrationTable',
    'drop_overdue',
    'make_registration_table',
    'record_outage',
    'register',
    'replace_all',
    'unregister',
]
