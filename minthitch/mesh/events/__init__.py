"""The numbered log events of the mesh's programs."""
