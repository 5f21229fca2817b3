"""Admission control: refuse at once what engines under load can't answer in time."""

from turmericproxy.admission.controller import AdmissionController

__all__ = ["AdmissionController"]
