"""Name the controllers that only some deployments have, for annotations.

Importing them at run time takes processor time at each start, also where no settings ask for them.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from turmericproxy.admission.controller import AdmissionController
    from turmericproxy.releases.controller import ReleaseController
else:
    AdmissionController = ReleaseController = Any

__all__ = ["AdmissionController", "ReleaseController"]
