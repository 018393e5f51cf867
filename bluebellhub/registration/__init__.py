"""Registrations of upstreams and their incarnations."""

from bluebellhub.registration.registration import (
    Registration,
    RegistrationTable,
    make_registration_table,
    record_outage,
    register,
    remove_expired,
    replace_all,
    unregister,
)

__all__ = [
    'Registration',
    'RegistrationTable',
    'make_registration_table',
    'record_outage',
    'register',
    'remove_expired',
    'replace_all',
    'unregister',
]
