"""After SIGHUP the seeds are read again from the settings file, unless it is invalid."""

from __future__ import annotations

import tempfile
import unittest
from unittest import mock

from minthitch.mesh.configuration import settings
from minthitch.mesh.http import runtime

SETTINGS = """
Self.Node=n
Self.Mclass=core
Self.Ip=10.1.0.8
Self.Az=a
Self.Region=r
Net.PortRange=7620,7635
Net.Seeds=%s
"""


class SighupReload(unittest.TestCase):
    def test_seeds_are_read_from_the_current_settings_file(self) -> None:
        with (
            tempfile.NamedTemporaryFile("w+") as file,
            mock.patch.dict("os.environ", {settings.PATH_VARIABLE: file.name}),
        ):
            for text, expected in (
                (SETTINGS % "10.1.0.14:8306", ("10.1.0.14",)),
                (SETTINGS % "10.2.0.10:8306,10.3.0.12:8306", ("10.2.0.10", "10.3.0.12")),
                ("Self.Node", ()),
            ):
                file.seek(0)
                file.truncate()
                file.write(text)
                file.flush()
                with mock.patch.object(runtime, "log_event") as log:
                    self.assertEqual(runtime.load_seeds(), expected)
                self.assertEqual(log.called, not expected)


if __name__ == "__main__":
    unittest.main()
